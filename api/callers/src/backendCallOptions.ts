import type { Caller } from "./caller.js";

/** What every call of the backend is given. */
export interface BackendCallOptions {
    caller: Caller;
    /** Aborted when the caller goes away. */
    signal: AbortSignal;
    /** When the call is due, by this process's clock, in milliseconds. */
    deadlineMs: number;
    /** W3C trace context of the request's span. */
    traceParent: string;
}
