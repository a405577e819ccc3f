import type { JobId } from "@knapweedwood/core.ids/jobId";

/** Stored value: the tokens of the open jobs of a route. */
export interface WaitingTokens {
    jobs: { jobId: JobId; tokens: number; }[];
}
