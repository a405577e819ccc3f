import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Returns whether the call took effect and its response must be dropped: `error` then has the outcome `unknown`. */
export function isResponseLost(error: unknown): boolean {
    return error instanceof KnapweedError && error.outcome === "unknown";
}
