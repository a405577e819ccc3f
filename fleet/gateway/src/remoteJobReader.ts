import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { JobCaller } from "@knapweedwood/fleet.jobs/jobCaller";
import type { ResultsPage } from "@knapweedwood/fleet.jobs/resultsPage";

/** Reads results and items of jobs from the process that runs them. */
export interface RemoteJobReader {
    /**
     * Returns results of a job; undefined only if the team of the caller certainly has no such job. Rejects if that is
     * unknown.
     *
     * @param opts.caller undefined while the configuration has no teams
     * @param opts.after position of the first requested result
     * @param opts.waitMs time to wait for results, in milliseconds
     */
    results(
        opts: { jobId: JobId; caller?: JobCaller; after: number; waitMs: number; },
    ): Promise<ResultsPage | undefined>;
    /**
     * Returns the body of an item; undefined only if the team of the caller certainly has no such item. Rejects if that is
     * unknown.
     *
     * @param opts.caller undefined while the configuration has no teams
     */
    itemBody(opts: { jobId: JobId; itemId: ItemId; caller?: JobCaller; }): Promise<Uint8Array | undefined>;
}
