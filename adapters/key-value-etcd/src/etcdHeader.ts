/** Header of each answer of etcd. */
export interface EtcdHeader {
    /** An int64 as a string. */
    revision: string;
}
