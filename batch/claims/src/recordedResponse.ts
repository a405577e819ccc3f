/** Response of a claimed call, as it is returned to repeated requests. */
export interface RecordedResponse {
    statusCode: number;
    headers: { [name: string]: string; };
    body: Uint8Array;
}
