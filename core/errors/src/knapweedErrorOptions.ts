import type { Outcome } from "./outcome.js";

/** Optional parts of a {@link KnapweedError}. */
export interface KnapweedErrorOptions {
    /** What the reader may do about the error. */
    hint?: string;
    /** What became of the request, where the error answers one. */
    outcome?: Outcome;
    /** Status of the HTTP answer that carries this error. */
    statusCode?: number;
    /** When to come back, in milliseconds. */
    retryAfterMs?: number;
    /** The settings path, the parameter or the field that is wrong. */
    parameter?: string;
    cause?: unknown;
}
