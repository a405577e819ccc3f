/** Bounds and intervals of links. */
export interface LinkLimits {
    /** Time between heartbeats while calls are in flight, in milliseconds. */
    heartbeatIntervalMs: number;
    /** Time between heartbeats while no calls are in flight, in milliseconds. */
    idleHeartbeatIntervalMs: number;
    /** An unanswered heartbeat older than this has the connection replaced, in milliseconds. */
    silentAfterMs: number;
    /** Longest time for opening a connection with its handshake, in milliseconds. */
    connectTimeoutMs: number;
    /** How long a call waits for an open link before it ends as not run, in milliseconds. */
    openTimeoutMs: number;
    /** How long the end that connects tries to resume before calls in flight end as unknown, in milliseconds. */
    resumeTimeoutMs: number;
    /** How long the end that accepts keeps a session without a connection, in milliseconds. */
    resumeGraceMs: number;
    /** First and longest pause between attempts to connect, in milliseconds. */
    reconnectBaseMs: number;
    reconnectMaxMs: number;
    /** Largest message, in bytes. */
    maxMessageBytes: number;
    /** Bytes of frames of one call on their way or unread. */
    callWindowBytes: number;
    /** Bytes of a session that the other end has not acknowledged. */
    maxUnacknowledgedBytes: number;
    /** Calls in flight of one link, in each direction. */
    maxCalls: number;
}
