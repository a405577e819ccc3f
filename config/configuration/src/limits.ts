/** Limits of a team, a caller or a service. Undefined means unlimited. */
export interface Limits {
    requestsPerSecond?: number;
    tokensPerSecond?: number;
    /** Maximum number of concurrent calls. */
    concurrency?: number;
}
