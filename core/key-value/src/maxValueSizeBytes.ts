/** Maximum size of a value in the key-value service. */
export const MAX_VALUE_SIZE_BYTES = 1_000_000;
