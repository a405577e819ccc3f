import { encodeBytes } from "@knapweedwood/adapters.key-value-etcd/encodeBytes";
import type { EtcdKeyValue } from "@knapweedwood/adapters.key-value-etcd/etcdKeyValue";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";

/** Returns an entry in the format of etcd. */
export function toKeyValue(entry: KeyValueEntry): EtcdKeyValue {
    return {
        key: encodeBytes(entry.key),
        value: encodeBytes(entry.value),
        mod_revision: String(entry.modRevision),
        lease: entry.leaseId,
    };
}
