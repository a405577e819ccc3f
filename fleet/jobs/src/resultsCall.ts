import type { JobId } from "@knapweedwood/core.ids/jobId";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { ResultsPage } from "./resultsPage.js";

interface ResultsRequest {
    jobId: JobId;
    /** Position of the first requested result. */
    after: number;
    /** How long to wait for a result, in milliseconds. */
    waitMs: number;
}

/** Reads results of a job from the runner. The response has no page if the job certainly does not exist. */
export const resultsCall = defineCall<ResultsRequest, { page?: ResultsPage; }>("jobs.results");
