/** The part of a limit that one entry may use. */
export interface LimitPart {
    /** Of the rate and of the concurrency, in (0, 1]. */
    rateShare: number;
    /** Of what may be taken at once, in (0, 1]. */
    burstShare: number;
}
