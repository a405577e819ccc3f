import type { EtcdKeyValue } from "./etcdKeyValue.js";

/** One change that a watch reports. */
export interface EtcdEvent {
    /** Left out for a put. */
    type?: "PUT" | "DELETE";
    kv: EtcdKeyValue;
}
