/** Limits and intervals of links. */
export interface LinkLimits {
    /** Time between heartbeats while calls are in progress, in milliseconds. */
    heartbeatIntervalMs: number;
    /** Time between heartbeats while no calls are in progress, in milliseconds. */
    idleHeartbeatIntervalMs: number;
    /** Age of an unanswered heartbeat at which the connection is replaced, in milliseconds. */
    silentAfterMs: number;
    /** Longest time to open a connection and complete its handshake, in milliseconds. */
    connectTimeoutMs: number;
    /** Time that a call waits for an open link before it ends with outcome `not-run`, in milliseconds. */
    openTimeoutMs: number;
    /**
     * Time that the dialing end tries to resume a session before calls in progress end with outcome `unknown`, in
     * milliseconds.
     */
    resumeTimeoutMs: number;
    /** Time that the accepting end keeps a session without a connection, in milliseconds. */
    resumeGraceMs: number;
    /** First delay between connection attempts, in milliseconds. */
    reconnectBaseMs: number;
    /** Longest delay between connection attempts, in milliseconds. */
    reconnectMaxMs: number;
    /** Maximum size of a message, in bytes. */
    maxMessageBytes: number;
    /** Maximum size of the frames of one call that are in transit or unread, in bytes. */
    callWindowBytes: number;
    /** Maximum size of the messages of a session that the peer has not acknowledged, in bytes. */
    maxUnacknowledgedBytes: number;
    /** Maximum number of concurrent calls of one link, in each direction. */
    maxCalls: number;
}
