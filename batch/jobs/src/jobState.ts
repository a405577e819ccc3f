/** State of a job. `completed`, `cancelled` and `failed` are final. */
export type JobState =
    | "validating"
    | "in_progress"
    | "finalizing"
    | "completed"
    | "cancelling"
    | "cancelled"
    | "failed";
