import type { EtcdEvent } from "./etcdEvent.js";
import type { EtcdHeader } from "./etcdHeader.js";

/** One message of a watch stream. */
export interface EtcdWatchResponse {
    header: EtcdHeader;
    created?: boolean;
    canceled?: boolean;
    /** Set if the watch was rejected because the requested changes were compacted; an int64 as a string. */
    compact_revision?: string;
    events?: EtcdEvent[];
}
