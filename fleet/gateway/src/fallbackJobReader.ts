import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { JobCaller } from "@knapweedwood/fleet.jobs/jobCaller";
import type { ResultsPage } from "@knapweedwood/fleet.jobs/resultsPage";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { RemoteJobReader } from "./remoteJobReader.js";

interface FallbackJobReaderOptions {
    logger: Logger;
    /** Knows all jobs. */
    leader: RemoteJobReader;
    /** Used while the leader can't be reached or isn't certain. */
    stored: RemoteJobReader;
}

/** Reads jobs from the leader; where that fails, from the key-value service, so that reads don't need one process. */
export class FallbackJobReader implements RemoteJobReader {
    private readonly opts: FallbackJobReaderOptions;

    constructor(opts: FallbackJobReaderOptions) {
        this.opts = opts;
    }

    results(
        opts: { jobId: JobId; caller?: JobCaller; after: number; waitMs: number; },
    ): Promise<ResultsPage | undefined> {
        return this.read(opts.jobId, reader => reader.results(opts));
    }

    itemBody(opts: { jobId: JobId; itemId: ItemId; caller?: JobCaller; }): Promise<Uint8Array | undefined> {
        return this.read(opts.jobId, reader => reader.itemBody(opts));
    }

    /** Rejects with the error of the stored read if both fail. */
    private async read<Value>(jobId: JobId, action: (reader: RemoteJobReader) => Promise<Value>): Promise<Value> {
        try {
            return await action(this.opts.leader);
        }
        catch (thrown) {
            this.opts.logger.info("job-read-from-store", { jobId, code: toKnapweedError(thrown).code });
            return await action(this.opts.stored);
        }
    }
}
