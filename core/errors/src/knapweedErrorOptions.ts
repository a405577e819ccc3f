import type { Outcome } from "./outcome.js";

/** Optional parts of a {@link KnapweedError}. */
export interface KnapweedErrorOptions {
    /** Advice to the reader of the message on how to resolve the error. */
    hint?: string;
    /** Outcome of the request, if the error is the response to one. */
    outcome?: Outcome;
    /** Status of the HTTP response that contains this error. */
    statusCode?: number;
    /** Delay before a retry, in milliseconds. */
    retryAfterMs?: number;
    /** Name of the invalid parameter or field, or path of the invalid setting. */
    parameter?: string;
    cause?: unknown;
}
