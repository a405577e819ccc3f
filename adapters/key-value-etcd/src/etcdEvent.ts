import type { EtcdKeyValue } from "./etcdKeyValue.js";

/** One change reported by a watch. */
export interface EtcdEvent {
    /** Omitted for a put. */
    type?: "PUT" | "DELETE";
    kv: EtcdKeyValue;
}
