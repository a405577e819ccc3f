/** A rate and the burst allowed beyond it. */
export interface RateLimit {
    ratePerSecond: number;
    /** Amount that may be taken at once after a pause; at least 1, the cost of one request. */
    burst: number;
}
