/** The answer of a claimed call, as it is given again to a resend. */
export interface RecordedResponse {
    statusCode: number;
    headers: { [name: string]: string; };
    body: Uint8Array;
}
