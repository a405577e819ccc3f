import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import { cutResultsPage } from "./cutResultsPage.js";
import type { ItemResult } from "./itemResult.js";
import { jobKeys } from "./jobKeys.js";
import type { JobRecord } from "./jobRecord.js";
import { JobTable } from "./jobTable.js";
import type { ResultsPage } from "./resultsPage.js";

/**
 * Reads jobs from the key-value service, in any process. It never reports that a job doesn't exist: a job that isn't
 * stored yet may be held on disks, which only the leader knows.
 */
export class StoredJobReader {
    private readonly service: SnapshotKeyValueService;

    constructor(opts: { service: SnapshotKeyValueService; }) {
        this.service = opts.service;
    }

    /**
     * Returns the stored results of a job. Does not wait for more.
     *
     * @param opts.after position of the first requested result
     */
    async results(opts: { jobId: JobId; after: number; }): Promise<ResultsPage> {
        const { jobId, after } = opts;
        const prefix = jobKeys.resultsOnlyPrefix(jobId);
        const [record, entries] = await Promise.all([
            this.service.get(jobKeys.record(jobId)),
            this.service.list(prefix, after === 0 ? {} : { afterKey: jobKeys.result(jobId, after - 1) }),
        ]);
        if (record === undefined) {
            throw notStored(jobId);
        }
        if (entries.length > 0 && entries[0]!.key !== jobKeys.result(jobId, after)) {
            // The results before were removed: the job's retention time is over.
            throw notStored(jobId);
        }
        const total = decodeRecord<JobRecord>(record.value).items.length;
        return cutResultsPage(entries.map(entry => decodeRecord<ItemResult>(entry.value)), { total, after });
    }

    /** Returns the body of an item; undefined if the stored job has no such item. */
    async itemBody(jobId: JobId, itemId: ItemId): Promise<Buffer | undefined> {
        const { entries } = await this.service.snapshot(jobKeys.jobPrefix(jobId));
        const table = new JobTable();
        table.apply(entries);
        const job = table.get(jobId);
        if (job?.isLoaded !== true) {
            throw notStored(jobId);
        }
        const item = job.item(itemId);
        return item === undefined ? undefined : job.bodyOf(item);
    }
}

function notStored(jobId: JobId): KnapweedError {
    return new KnapweedError("JOBS_NOT_SETTLED", `Job ${jobId} is not stored; it may be held on disks`, {
        outcome: "not-run",
    });
}
