/** The shares of a limit that one entry may use. */
export interface LimitPart {
    /** Share of the rate and of the concurrency, in (0, 1]. */
    rateShare: number;
    /** Share of the burst, in (0, 1]. */
    burstShare: number;
}
