import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { answerLostError } from "@knapweedwood/core.key-value/answerLostError";
import { unavailableError } from "@knapweedwood/core.key-value/unavailableError";
import type { EtcdError } from "./etcdError.js";

const INVALID_ARGUMENT = 3;
const NOT_FOUND = 5;
const RESOURCE_EXHAUSTED = 8;
const UNIMPLEMENTED = 12;

/** Error messages that guarantee that etcd did not start the call. */
const NOT_STARTED_MESSAGES = ["etcdserver: no leader", "etcdserver: too many requests"];

/**
 * Converts an etcd error to a KnapweedError.
 *
 * @param isWrite whether the call may have changed data; if so, the outcome is `unknown` unless the error shows that
 *     it did not
 */
export function etcdCallError(error: EtcdError, isWrite: boolean): KnapweedError {
    const rejected = { outcome: "not-run" } as const;
    if (error.code === NOT_FOUND) {
        return new KnapweedError("KEY_VALUE_LEASE_NOT_FOUND", error.message, rejected);
    }
    if (error.code === INVALID_ARGUMENT && error.message.includes("duplicate key")) {
        return new KnapweedError("KEY_VALUE_DUPLICATE_KEY", error.message, rejected);
    }
    if (error.code === INVALID_ARGUMENT && error.message.includes("too large")) {
        return new KnapweedError("KEY_VALUE_VALUE_TOO_LARGE", error.message, rejected);
    }
    if (error.code === INVALID_ARGUMENT || error.code === UNIMPLEMENTED) {
        return new KnapweedError("KEY_VALUE_INVALID", error.message, rejected);
    }
    const hasNotStarted = error.code === RESOURCE_EXHAUSTED || NOT_STARTED_MESSAGES.includes(error.message);
    return hasNotStarted || !isWrite ? unavailableError(error.message) : answerLostError(error.message);
}
