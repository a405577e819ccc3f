/** Time from the start at an upstream to the first event, in milliseconds. */
export const FIRST_RESPONSE_MS = 60;
