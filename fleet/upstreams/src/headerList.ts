/** Header names and values by turns, shape [2 * headers]. */
export type HeaderList = string[];
