import type { HeldJob } from "./heldJob.js";

/** Request to a runner to hold a job. */
export interface HoldRequest {
    job: HeldJob;
    /** Waiting tokens on the job's route in the key-value service, as last seen by the requesting process. */
    storedTokens: number;
}
