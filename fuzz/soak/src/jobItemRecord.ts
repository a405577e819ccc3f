/** An item of a job as its caller made it. */
export interface JobItemRecord {
    id: string;
    body: string;
}
