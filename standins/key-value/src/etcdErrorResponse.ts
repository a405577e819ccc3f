import type { EtcdError } from "@knapweedwood/adapters.key-value-etcd/etcdError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";

interface EtcdErrorResponse {
    statusCode: number;
    error: EtcdError;
}

const RESPONSES: { [code: string]: EtcdErrorResponse; } = {
    ERR_KNAPWEED_KEY_VALUE_LEASE_NOT_FOUND: failure(404, 5, "etcdserver: requested lease not found"),
    ERR_KNAPWEED_KEY_VALUE_DUPLICATE_KEY: failure(400, 3, "etcdserver: duplicate key given in txn request"),
    ERR_KNAPWEED_KEY_VALUE_VALUE_TOO_LARGE: failure(400, 3, "etcdserver: request is too large"),
    ERR_KNAPWEED_KEY_VALUE_UNAVAILABLE: failure(503, 14, "etcdserver: no leader"),
    ERR_KNAPWEED_ETCD_UNSUPPORTED: failure(501, 12, "not supported by the stand-in"),
};

/** Returns the response that etcd sends for an error: an HTTP status, and a body with a gRPC status code. */
export function etcdErrorResponse(thrown: unknown): EtcdErrorResponse {
    const error = toKnapweedError(thrown);
    return RESPONSES[error.code] ?? failure(500, 13, error.message);
}

function failure(statusCode: number, code: number, message: string): EtcdErrorResponse {
    return { statusCode, error: { code, message } };
}
