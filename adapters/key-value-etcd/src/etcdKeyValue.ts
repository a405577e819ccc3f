/** A key and its value, in etcd's format. */
export interface EtcdKeyValue {
    /** Base64. */
    key: string;
    /** Base64; omitted if empty. */
    value?: string;
    /** An int64 as a string. */
    mod_revision?: string;
    /** An int64 as a string; omitted without a lease. */
    lease?: string;
}
