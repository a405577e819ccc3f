/** Source of random numbers, passed into decisions. */
export interface Random {
    /** A number in [0, 1). */
    next(): number;
    /** An integer in [0, limit). */
    nextInteger(limit: number): number;
}
