/** Time after an outage within which held jobs are written to the key-value service, in milliseconds. */
export const HELD_JOBS_WRITE_MS = 4000;
