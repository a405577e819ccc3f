import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import { encodeBytes } from "./encodeBytes.js";
import type { EtcdRequestOperation } from "./etcdRequestOperation.js";
import type { EtcdTransactionRequest } from "./etcdTransactionRequest.js";

/** Builds the request of a transaction. If a comparison fails, the transaction returns the compared keys instead. */
export function toTransactionRequest(
    compares: KeyValueCompare[],
    operations: KeyValueOperation[],
): EtcdTransactionRequest {
    return {
        compare: compares.map(compare => ({
            key: encodeBytes(compare.key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: String(compare.modRevision),
        })),
        success: operations.map(toRequestOperation),
        failure: compares.map(compare => ({ request_range: { key: encodeBytes(compare.key) } })),
    };
}

function toRequestOperation(operation: KeyValueOperation): EtcdRequestOperation {
    const key = encodeBytes(operation.key);
    return operation.kind === "put"
        ? { request_put: { key, value: encodeBytes(operation.value), lease: operation.leaseId } }
        : { request_delete_range: { key } };
}
