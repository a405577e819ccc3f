/** Request body of `/v3/watch`. */
export interface EtcdWatchRequest {
    create_request: {
        /** Base64. */
        key: string;
        /** Base64. */
        range_end?: string;
        /** First revision to report; an int64 as a string. */
        start_revision?: string;
    };
}
