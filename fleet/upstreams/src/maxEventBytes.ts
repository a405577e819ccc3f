/** Maximum size of one event of a stream, in bytes. */
export const maxEventBytes = 1_048_576;
