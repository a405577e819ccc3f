import { KnapweedError } from "./knapweedError.js";

/** Wraps a thrown value in a {@link KnapweedError} with `code`; returns a KnapweedError unchanged. */
export function toKnapweedError(thrown: unknown, code = "INTERNAL"): KnapweedError {
    if (thrown instanceof KnapweedError) {
        return thrown;
    }
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return new KnapweedError(code, message, { cause: thrown });
}
