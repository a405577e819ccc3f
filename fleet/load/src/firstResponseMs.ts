/** Expected time from the start of a request at an upstream to its first event, in milliseconds. */
export const FIRST_RESPONSE_MS = 60;
