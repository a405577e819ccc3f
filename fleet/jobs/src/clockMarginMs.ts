/** Difference between the clocks of instances that is allowed for, in milliseconds. A gateway sets the times of a job. */
export const CLOCK_MARGIN_MS = 5000;
