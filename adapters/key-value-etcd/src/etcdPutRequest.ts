/** Request body of `/v3/kv/put`. */
export interface EtcdPutRequest {
    /** Base64. */
    key: string;
    /** Base64. */
    value?: string;
    /** An int64 as a string. */
    lease?: string;
}
