/** Largest value that the key-value service holds. */
export const MAX_VALUE_SIZE_BYTES = 1_000_000;
