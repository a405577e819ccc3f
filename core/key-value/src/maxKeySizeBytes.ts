/** Maximum size of a key in the key-value service. */
export const MAX_KEY_SIZE_BYTES = 200;
