import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Returns whether `error` says that the call took effect and that its response must be dropped. */
export function isResponseLost(error: unknown): boolean {
    return error instanceof KnapweedError && error.outcome === "unknown";
}
