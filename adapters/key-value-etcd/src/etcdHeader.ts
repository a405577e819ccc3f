/** Header of every etcd response. */
export interface EtcdHeader {
    /** An int64 as a string. */
    revision: string;
}
