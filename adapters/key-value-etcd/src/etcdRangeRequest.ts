/** Body of `/v3/kv/range`. */
export interface EtcdRangeRequest {
    /** Base64. */
    key: string;
    /** Base64; left out for a single key. */
    range_end?: string;
    /** An int64 as a string; left out for no limit. */
    limit?: string;
}
