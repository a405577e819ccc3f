/** Where a job stands. `completed`, `cancelled` and `failed` are final. */
export type JobState =
    | "validating"
    | "in_progress"
    | "finalizing"
    | "completed"
    | "cancelling"
    | "cancelled"
    | "failed";
