/** A whole HTTP answer. */
export interface HttpAnswer {
    statusCode: number;
    body: Buffer;
}
