import type { HoldOutcome } from "./holdOutcome.js";

/** Response of a runner to a request to hold a job. */
export interface HoldResponse {
    outcome: HoldOutcome;
    /**
     * Fencing number of the leader that approved the job, for the requests to other runners. Absent if the job needs no
     * copies, since its route has no limit or the leader has stored it.
     */
    approvedBy?: number;
}
