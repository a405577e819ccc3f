/** A condition of a transaction, as etcd takes it. */
export interface EtcdCompare {
    /** Base64. */
    key: string;
    target: "MOD";
    result: "EQUAL";
    /** An int64 as a string; 0 where the key must be absent. */
    mod_revision: string;
}
