/** What the end that opened a connection is to do after looking at its heartbeats. */
export interface HeartbeatDecision {
    liveness: "alive" | "suspect" | "silent";
    /** The ping to send now, with the time to the one after it. */
    ping: { sequence: number; intervalMs: number; } | undefined;
    /** When to look again, in milliseconds from now. */
    nextTickMs: number;
}
