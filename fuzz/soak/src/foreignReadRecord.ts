/** A read of a job's results with a key of another team. */
export interface ForeignReadRecord {
    jobId: string;
    team: string;
    statusCode: number;
}
