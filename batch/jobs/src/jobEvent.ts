/** Event that moves a job from one state to the next. */
export type JobEvent = "validated" | "refused" | "checkpoint" | "drained" | "finished" | "cancel";
