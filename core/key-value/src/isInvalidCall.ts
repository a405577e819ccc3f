import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";

const CODES = [
    "ERR_KNAPWEED_KEY_VALUE_INVALID",
    "ERR_KNAPWEED_KEY_VALUE_DUPLICATE_KEY",
    "ERR_KNAPWEED_KEY_VALUE_VALUE_TOO_LARGE",
];

/** Whether the key-value service rejected a call for what it contains, so that it rejects it again when it is repeated. */
export function isInvalidCall(thrown: unknown): boolean {
    return CODES.includes(toKnapweedError(thrown).code);
}
