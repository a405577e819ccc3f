/** Time after its submission until which an ended job has to stay readable, in milliseconds. */
export const RESULT_RETENTION_MS = 120_000;
