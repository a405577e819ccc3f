import type { EtcdEvent } from "./etcdEvent.js";
import type { EtcdHeader } from "./etcdHeader.js";

/** One message of a watch. */
export interface EtcdWatchResponse {
    header: EtcdHeader;
    created?: boolean;
    canceled?: boolean;
    /** Set where the watch was refused because changes are no longer kept; an int64 as a string. */
    compact_revision?: string;
    events?: EtcdEvent[];
}
