/** Maximum size of the body of a response that isn't a stream, in bytes. */
export const maxBodyBytes = 16_777_216;
