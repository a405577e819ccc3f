import type { Caller } from "./caller.js";

/** Options of every call to an inference backend. */
export interface BackendCallOptions {
    caller: Caller;
    /** Aborted when the caller disconnects. */
    signal: AbortSignal;
    /** Deadline of the call in milliseconds, by this process's clock. */
    deadlineMs: number;
    /** W3C trace context of the request's span. */
    traceParent: string;
}
