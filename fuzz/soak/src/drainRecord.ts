/** An upstream that leaves, and when the key-value service had that. */
export interface DrainRecord {
    upstreamId: string;
    ackedAtMs: number;
}
