import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import { HELD_JOBS_WRITE_MS } from "./heldJobsWriteMs.js";
import { jobKeys } from "./jobKeys.js";
import type { JobTable } from "./jobTable.js";
import type { OpenJob } from "./openJob.js";
import type { ResultsPage } from "./resultsPage.js";

interface JobReaderOptions {
    clock: Clock;
    service: SnapshotKeyValueService;
    table: JobTable;
    /** Whether the table certainly holds what is stored. */
    isCurrent: () => boolean;
    /** Since when the service has answered without a failure, Unix ms. */
    reachableSinceMs: () => number;
    /** Takes in entries of a job that the watch has not brought yet. */
    apply: (entries: KeyValueEntry[]) => void;
}

/** Answers reads of jobs. Methods throw `JOBS_NOT_LED` or `JOBS_NOT_SETTLED` where this process can't be sure. */
export class JobReader {
    private readonly opts: JobReaderOptions;

    constructor(opts: JobReaderOptions) {
        this.opts = opts;
    }

    /** Reads results, waiting up to `waitMs` for the first. @returns undefined where there certainly is no such job */
    async results(
        opts: { jobId: JobId; after: number; waitMs: number; signal: AbortSignal; },
    ): Promise<ResultsPage | undefined> {
        const job = await this.find(opts.jobId);
        if (job === undefined) {
            return undefined;
        }
        if (job.resultCount <= opts.after && !job.isEnded && opts.waitMs > 0) {
            await this.waitForResult(job, opts.waitMs, opts.signal);
        }
        this.assertCurrent();
        return job.page(opts.after);
    }

    /** @returns undefined where there certainly is no such item */
    async itemBody(jobId: JobId, itemId: ItemId): Promise<Buffer | undefined> {
        const job = await this.find(jobId);
        const item = job?.item(itemId);
        return item === undefined ? undefined : job!.bodyOf(item);
    }

    private async find(jobId: JobId): Promise<OpenJob | undefined> {
        this.assertCurrent();
        const job = this.opts.table.get(jobId);
        if (job?.isLoaded === true) {
            return job;
        }
        // The watch may lag behind an acceptance.
        const record = await this.opts.service.get(jobKeys.record(jobId));
        if (record === undefined) {
            this.assertHeldJobsWritten();
            return undefined;
        }
        const { entries } = await this.opts.service.snapshot(jobKeys.jobPrefix(jobId));
        this.opts.apply(entries);
        this.assertCurrent();
        return this.opts.table.get(jobId);
    }

    /** After an outage jobs that were held on disks are written within moments. */
    private assertHeldJobsWritten(): void {
        if (this.opts.clock.nowMs() < this.opts.reachableSinceMs() + HELD_JOBS_WRITE_MS) {
            throw new KnapweedError("JOBS_NOT_SETTLED", "Jobs held during an outage may not be written yet", {
                outcome: "not-run",
            });
        }
    }

    private assertCurrent(): void {
        if (!this.opts.isCurrent()) {
            throw new KnapweedError("JOBS_NOT_LED", "This process does not run jobs now", { outcome: "not-run" });
        }
    }

    private waitForResult(job: OpenJob, waitMs: number, signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                timer.cancel();
                unsubscribe();
                signal.removeEventListener("abort", finish);
                resolve();
            };
            const timer = this.opts.clock.setTimer(waitMs, finish);
            const unsubscribe = job.onNextResult(finish);
            signal.addEventListener("abort", finish, { once: true });
        });
    }
}
