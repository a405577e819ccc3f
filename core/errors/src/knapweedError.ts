import type { KnapweedErrorOptions } from "./knapweedErrorOptions.js";
import type { Outcome } from "./outcome.js";

const CODE_PREFIX = "ERR_KNAPWEED_";

/** The project's error class. `code` is stable across releases. */
export class KnapweedError extends Error {
    readonly code: string;
    readonly hint: string | undefined;
    readonly outcome: Outcome | undefined;
    readonly statusCode: number | undefined;
    readonly retryAfterMs: number | undefined;
    readonly parameter: string | undefined;

    /** @param code the code without its prefix, such as `LINK_SILENT` */
    constructor(code: string, message: string, opts: KnapweedErrorOptions = {}) {
        super(message, opts.cause === undefined ? {} : { cause: opts.cause });
        this.name = "KnapweedError";
        this.code = code.startsWith(CODE_PREFIX) ? code : `${CODE_PREFIX}${code}`;
        this.hint = opts.hint;
        this.outcome = opts.outcome;
        this.statusCode = opts.statusCode;
        this.retryAfterMs = opts.retryAfterMs;
        this.parameter = opts.parameter;
    }
}
