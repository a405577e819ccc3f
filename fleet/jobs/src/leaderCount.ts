/** What the leader counts on a route with a limit. */
export interface LeaderCount {
    fencingNumber: number;
    /** Waiting tokens on the route, without those of the jobs that the caller excepts. */
    waitingTokens: number;
}
