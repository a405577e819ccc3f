import type { JobId } from "@knapweedwood/core.ids/jobId";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { JobCaller } from "./jobCaller.js";
import type { ResultsPage } from "./resultsPage.js";

interface ResultsRequest {
    jobId: JobId;
    /** Who reads; absent while the configuration has no teams. */
    caller?: JobCaller;
    /** Position of the first requested result. */
    after: number;
    /** How long to wait for a result, in milliseconds. */
    waitMs: number;
}

/** Reads results of a job from the runner. The response has no page if the team of the caller certainly has no such job. */
export const resultsCall = defineCall<ResultsRequest, { page?: ResultsPage; }>("jobs.results");
