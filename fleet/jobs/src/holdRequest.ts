import type { HeldJob } from "./heldJob.js";

/** Request to a runner to hold a job. */
export interface HoldRequest {
    job: HeldJob;
    /** Fencing number of the leader that approved the job; undefined before one has. */
    approvedBy?: number;
}
