/** Totals of the work that an engine has done. */
export interface EngineTotals {
    steps: number;
    busyMs: number;
    decodeTokens: number;
    prefillTokens: number;
}
