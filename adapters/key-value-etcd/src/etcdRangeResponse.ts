import type { EtcdHeader } from "./etcdHeader.js";
import type { EtcdKeyValue } from "./etcdKeyValue.js";

/** Response body of `/v3/kv/range`. */
export interface EtcdRangeResponse {
    header: EtcdHeader;
    kvs?: EtcdKeyValue[];
}
