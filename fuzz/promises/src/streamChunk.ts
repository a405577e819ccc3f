/** A moment in which a stream of a job's item ran. */
export interface StreamChunk {
    jobId: string;
    atMs: number;
}
