import type { HeldJob } from "./heldJob.js";

/** Asks a runner to hold a job. */
export interface HoldRequest {
    job: HeldJob;
    /** Tokens that wait on the job's route in the key-value service, as the asking process last saw them. */
    storedTokens: number;
}
