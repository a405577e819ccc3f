import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import { decodeBytes } from "./decodeBytes.js";
import type { EtcdKeyValue } from "./etcdKeyValue.js";

const NO_LEASE = "0";

/** Converts a key and its value from etcd's format. */
export function toEntry(keyValue: EtcdKeyValue): KeyValueEntry {
    const lease = keyValue.lease ?? NO_LEASE;
    return {
        key: decodeBytes(keyValue.key).toString(),
        value: decodeBytes(keyValue.value),
        modRevision: Number(keyValue.mod_revision ?? 0),
        leaseId: lease === NO_LEASE ? undefined : lease,
    };
}
