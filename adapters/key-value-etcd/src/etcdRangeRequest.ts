/** Request body of `/v3/kv/range`. */
export interface EtcdRangeRequest {
    /** Base64. */
    key: string;
    /** Base64; omitted for a single key. */
    range_end?: string;
    /** An int64 as a string; omitted for no limit. */
    limit?: string;
}
