import type { EtcdDeleteRangeRequest } from "./etcdDeleteRangeRequest.js";
import type { EtcdPutRequest } from "./etcdPutRequest.js";
import type { EtcdRangeRequest } from "./etcdRangeRequest.js";

/** One operation of a transaction; exactly one field is set. */
export interface EtcdRequestOperation {
    request_put?: EtcdPutRequest;
    request_delete_range?: EtcdDeleteRangeRequest;
    request_range?: EtcdRangeRequest;
}
