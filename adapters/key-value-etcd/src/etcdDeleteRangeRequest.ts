/** Request body of `/v3/kv/deleterange`. */
export interface EtcdDeleteRangeRequest {
    /** Base64. */
    key: string;
    /** Base64; omitted for a single key. */
    range_end?: string;
}
