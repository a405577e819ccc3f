/** A rate and what may be taken beyond it. */
export interface RateLimit {
    ratePerSecond: number;
    /** What may be taken at once after a pause, at least the cost of one request. */
    burst: number;
}
