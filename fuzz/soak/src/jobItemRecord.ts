/** An item of a batch job as its caller submitted it. */
export interface JobItemRecord {
    id: string;
    body: string;
}
