/** Alternating header names and values, shape [2 * headers]. */
export type HeaderList = string[];
