import type { EtcdHeader } from "./etcdHeader.js";
import type { EtcdRangeResponse } from "./etcdRangeResponse.js";

/** Response body of `/v3/kv/txn`. */
export interface EtcdTransactionResponse {
    header: EtcdHeader;
    /** Omitted if false. */
    succeeded?: boolean;
    responses?: { response_range?: EtcdRangeResponse; }[];
}
