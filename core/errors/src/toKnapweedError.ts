import { KnapweedError } from "./knapweedError.js";

/** Wraps anything thrown in a {@link KnapweedError}; a KnapweedError is returned as it is. */
export function toKnapweedError(thrown: unknown, code = "INTERNAL"): KnapweedError {
    if (thrown instanceof KnapweedError) {
        return thrown;
    }
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return new KnapweedError(code, message, { cause: thrown });
}
