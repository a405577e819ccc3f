/** Time from the start at an upstream to the first event, in milliseconds. */
export const FIRST_ANSWER_MS = 60;
