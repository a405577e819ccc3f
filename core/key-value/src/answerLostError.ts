import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** The error of a call that may have taken effect. */
export function answerLostError(message: string, cause?: unknown): KnapweedError {
    return new KnapweedError("KEY_VALUE_ANSWER_LOST", message, {
        outcome: "unknown",
        hint: "Read the keys that the call wrote to learn whether it took effect.",
        cause,
    });
}
