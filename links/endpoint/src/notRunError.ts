import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Creates the error of a request that provably never reached a handler. */
export function notRunError(code: string, message: string): KnapweedError {
    return new KnapweedError(code, message, { outcome: "not-run" });
}
