import type { EtcdCompare } from "./etcdCompare.js";
import type { EtcdRequestOperation } from "./etcdRequestOperation.js";

/** Request body of `/v3/kv/txn`. */
export interface EtcdTransactionRequest {
    compare?: EtcdCompare[];
    success?: EtcdRequestOperation[];
    failure?: EtcdRequestOperation[];
}
