import type { JobId } from "@knapweedwood/core.ids/jobId";

/** Tokens of the open jobs of a route. */
export interface WaitingTokens {
    jobs: { jobId: JobId; tokens: number; }[];
}
