import type { PeerIdentity } from "./peerIdentity.js";

/** Context of a call that is passed to its handler. */
export interface CallContext {
    readonly peer: PeerIdentity;
    /** Aborted when the caller cancels, the deadline passes or the session of the link ends. */
    readonly signal: AbortSignal;
    /** Deadline of the call by this process's clock, in milliseconds; undefined where the caller set none. */
    readonly deadlineMs: number | undefined;
    /** W3C trace context of the caller's span. */
    readonly traceParent: string | undefined;
}
