/** A complete HTTP response. */
export interface HttpResponse {
    statusCode: number;
    body: Buffer;
}
