/** Result of a heartbeat tick at the dialing end of a connection. */
export interface HeartbeatDecision {
    liveness: "alive" | "suspect" | "silent";
    /** Ping to send now, with the time within which the next one follows, in milliseconds. */
    ping: { sequence: number; intervalMs: number; } | undefined;
    /** Time until the next tick, in milliseconds. */
    nextTickMs: number;
}
