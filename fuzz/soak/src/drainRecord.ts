/** An upstream that drains, and when the key-value service acknowledged this. */
export interface DrainRecord {
    upstreamId: string;
    ackedAtMs: number;
}
