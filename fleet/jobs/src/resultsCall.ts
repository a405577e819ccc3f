import type { JobId } from "@knapweedwood/core.ids/jobId";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { ResultsPage } from "./resultsPage.js";

interface ResultsRequest {
    jobId: JobId;
    /** Position of the first result wanted. */
    after: number;
    /** How long to wait for a result, in milliseconds. */
    waitMs: number;
}

/** Reads results of a job at the runner; without a page where there certainly is no such job. */
export const resultsCall = defineCall<ResultsRequest, { page?: ResultsPage; }>("jobs.results");
