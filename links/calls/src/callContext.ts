import type { PeerIdentity } from "./peerIdentity.js";

/** What a handler knows of the call it answers. */
export interface CallContext {
    readonly peer: PeerIdentity;
    /** Aborted when the caller cancels or its link is given up. */
    readonly signal: AbortSignal;
    /** When the call is due, by this process's clock, in milliseconds; undefined where none was set. */
    readonly deadlineMs: number | undefined;
    readonly traceParent: string | undefined;
}
