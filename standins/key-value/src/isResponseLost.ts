import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Whether a call took effect and its answer is to be lost. */
export function isResponseLost(error: unknown): boolean {
    return error instanceof KnapweedError && error.outcome === "unknown";
}
