/** A condition of a transaction, in etcd's format. */
export interface EtcdCompare {
    /** Base64. */
    key: string;
    target: "MOD";
    result: "EQUAL";
    /** An int64 as a string; 0 requires that the key is absent. */
    mod_revision: string;
}
