import type { EtcdHeader } from "./etcdHeader.js";
import type { EtcdRangeResponse } from "./etcdRangeResponse.js";

/** Answer of `/v3/kv/txn`. */
export interface EtcdTransactionResponse {
    header: EtcdHeader;
    /** Left out where false. */
    succeeded?: boolean;
    responses?: { response_range?: EtcdRangeResponse; }[];
}
