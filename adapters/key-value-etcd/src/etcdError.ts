/** Body of a failed call. */
export interface EtcdError {
    /** Status code of gRPC. */
    code: number;
    message: string;
}
