import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Returns the error of a call that may have taken effect, because its response was lost. */
export function answerLostError(message: string, cause?: unknown): KnapweedError {
    return new KnapweedError("KEY_VALUE_ANSWER_LOST", message, {
        outcome: "unknown",
        hint: "Read the keys that the call wrote to find out whether it took effect.",
        cause,
    });
}
