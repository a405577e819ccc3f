import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import { cutResultsPage } from "./cutResultsPage.js";
import type { ItemResult } from "./itemResult.js";
import type { JobCaller } from "./jobCaller.js";
import { jobKeys } from "./jobKeys.js";
import { JobTable } from "./jobTable.js";
import { mayAccessJob } from "./mayAccessJob.js";
import type { ResultsPage } from "./resultsPage.js";
import type { StoredJobRecord } from "./storedJobRecord.js";

/**
 * Reads jobs from the key-value service, in any process. It never reports that a job doesn't exist, only that a stored one
 * belongs to another team: a job that isn't stored yet may be held on disks, which only the leader knows.
 */
export class StoredJobReader {
    private readonly service: SnapshotKeyValueService;

    constructor(opts: { service: SnapshotKeyValueService; }) {
        this.service = opts.service;
    }

    /**
     * Returns the stored results of a job; undefined if it belongs to another team. Does not wait for more.
     *
     * @param opts.caller undefined while the configuration has no teams
     * @param opts.after position of the first requested result
     */
    async results(
        opts: { jobId: JobId; caller?: JobCaller; after: number; },
    ): Promise<ResultsPage | undefined> {
        const { jobId, after } = opts;
        const prefix = jobKeys.resultsOnlyPrefix(jobId);
        const [record, entries] = await Promise.all([
            this.service.get(jobKeys.record(jobId)),
            this.service.list(prefix, after === 0 ? {} : { afterKey: jobKeys.result(jobId, after - 1) }),
        ]);
        if (record === undefined) {
            throw notStored(jobId);
        }
        const job = decodeRecord<StoredJobRecord>(record.value);
        if (!mayAccessJob(job, opts.caller)) {
            return undefined;
        }
        if (entries.length > 0 && entries[0]!.key !== jobKeys.result(jobId, after)) {
            // The results before were removed: the job's retention time is over.
            throw notStored(jobId);
        }
        const results = entries.map(entry => decodeRecord<ItemResult>(entry.value));
        return cutResultsPage(results, { total: job.itemCount ?? job.items.length, after });
    }

    /**
     * Returns the body of an item; undefined if the stored job has no such item, or belongs to another team.
     *
     * @param opts.caller undefined while the configuration has no teams
     */
    async itemBody(opts: { jobId: JobId; itemId: ItemId; caller?: JobCaller; }): Promise<Buffer | undefined> {
        const { jobId, itemId, caller } = opts;
        const { entries } = await this.service.snapshot(jobKeys.jobPrefix(jobId));
        const table = new JobTable();
        table.apply(entries);
        const job = table.get(jobId);
        if (job?.isLoaded !== true) {
            throw notStored(jobId);
        }
        const item = mayAccessJob(job.record, caller) ? job.item(itemId) : undefined;
        return item === undefined ? undefined : job.bodyOf(item);
    }
}

function notStored(jobId: JobId): KnapweedError {
    return new KnapweedError("JOBS_NOT_SETTLED", `Job ${jobId} is not stored; it may be held on disks`, {
        outcome: "not-run",
    });
}
