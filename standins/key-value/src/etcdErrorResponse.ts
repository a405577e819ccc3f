import type { EtcdError } from "@knapweedwood/adapters.key-value-etcd/etcdError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";

interface EtcdRefusal {
    statusCode: number;
    error: EtcdError;
}

const REFUSALS: { [code: string]: EtcdRefusal; } = {
    ERR_KNAPWEED_KEY_VALUE_LEASE_NOT_FOUND: refusal(404, 5, "etcdserver: requested lease not found"),
    ERR_KNAPWEED_KEY_VALUE_DUPLICATE_KEY: refusal(400, 3, "etcdserver: duplicate key given in txn request"),
    ERR_KNAPWEED_KEY_VALUE_VALUE_TOO_LARGE: refusal(400, 3, "etcdserver: request is too large"),
    ERR_KNAPWEED_KEY_VALUE_UNAVAILABLE: refusal(503, 14, "etcdserver: no leader"),
    ERR_KNAPWEED_ETCD_UNSUPPORTED: refusal(501, 12, "not supported by the stand-in"),
};

/** The refusal that etcd sends for an error. */
export function etcdRefusal(thrown: unknown): EtcdRefusal {
    const error = toKnapweedError(thrown);
    return REFUSALS[error.code] ?? refusal(500, 13, error.message);
}

function refusal(statusCode: number, code: number, message: string): EtcdRefusal {
    return { statusCode, error: { code, message } };
}
