/** A key with its value, as etcd sends it. */
export interface EtcdKeyValue {
    /** Base64. */
    key: string;
    /** Base64; left out where empty. */
    value?: string;
    /** An int64 as a string. */
    mod_revision?: string;
    /** An int64 as a string; left out where there is no lease. */
    lease?: string;
}
