/** Source of random numbers, passed to the code that makes random decisions. */
export interface Random {
    /** Returns a number in [0, 1). */
    next(): number;
    /** Returns an integer in [0, limit). */
    nextInteger(limit: number): number;
}
