/** Response body of `/v3/lease/grant`, and the result of `/v3/lease/keepalive`. */
export interface EtcdLeaseResponse {
    /** An int64 as a string. */
    ID: string;
    /** Seconds, an int64 as a string; omitted if 0. */
    TTL?: string;
}
