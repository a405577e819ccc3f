/** Response body of a failed call. */
export interface EtcdError {
    /** gRPC status code. */
    code: number;
    message: string;
}
