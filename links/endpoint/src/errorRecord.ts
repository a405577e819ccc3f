import type { Outcome } from "@knapweedwood/core.errors/outcome";

/** Serialized form of a KnapweedError on a link. */
export interface ErrorRecord {
    code: string;
    message: string;
    hint?: string | undefined;
    outcome?: Outcome | undefined;
    statusCode?: number | undefined;
    retryAfterMs?: number | undefined;
    parameter?: string | undefined;
}
