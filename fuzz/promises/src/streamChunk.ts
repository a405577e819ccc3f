/** A chunk of an item's stream: the job, and the simulated time at which it was sent. */
export interface StreamChunk {
    jobId: string;
    atMs: number;
}
