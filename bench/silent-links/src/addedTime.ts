/** Time that calls took beyond their handlers. */
export interface AddedTime {
    callCount: number;
    p50Ms: number;
    p99Ms: number;
    maxMs: number;
}
