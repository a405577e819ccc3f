/** A whole HTTP answer. */
export interface HttpResponse {
    statusCode: number;
    body: Buffer;
}
