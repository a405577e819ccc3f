import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ResultsPage } from "@knapweedwood/fleet.jobs/resultsPage";

/** Reads results and items of jobs from the process that runs them. */
export interface RemoteJobReader {
    /**
     * Returns results of a job; undefined only if the job certainly does not exist. Rejects if that is unknown.
     *
     * @param opts.after position of the first requested result
     * @param opts.waitMs time to wait for results, in milliseconds
     */
    results(opts: { jobId: JobId; after: number; waitMs: number; }): Promise<ResultsPage | undefined>;
    /** Returns the body of an item; undefined only if the item certainly does not exist. Rejects if that is unknown. */
    itemBody(jobId: JobId, itemId: ItemId): Promise<Uint8Array | undefined>;
}
