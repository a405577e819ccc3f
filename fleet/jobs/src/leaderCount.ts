/** What the leader counts for a job of a route with a limit. */
export interface LeaderCount {
    fencingNumber: number;
    /** Waiting tokens on the route, without those of the job. */
    waitingTokens: number;
}
