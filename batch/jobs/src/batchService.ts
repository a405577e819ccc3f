import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { FileRecord } from "./fileRecord.js";
import type { JobRecord } from "./jobRecord.js";

/** Operations of the callers' API on files and batch jobs. Any entry can serve any job. */
export interface BatchService {
    /**
     * Stores a streamed file. Resolves once each of its segments has the number of copies that the segment store
     * requires. Rejects with `LINE_TOO_LONG` for a line that does not fit into one segment.
     */
    createFile(opts: {
        teamId: TeamId;
        fileName: string;
        purpose: string;
        content: AsyncIterable<Uint8Array>;
    }): Promise<FileRecord>;
    /** Rejects with `FILE_NOT_FOUND` for a file of another team, as does each method with a file id. */
    getFile(opts: { teamId: TeamId; fileId: FileId; }): Promise<FileRecord>;
    listFiles(opts: { teamId: TeamId; }): Promise<FileRecord[]>;
    deleteFile(opts: { teamId: TeamId; fileId: FileId; }): Promise<void>;
    readFile(opts: { teamId: TeamId; fileId: FileId; }): AsyncIterable<Uint8Array>;
    /** Accepts a job. The same idempotency key returns the same job. */
    createJob(opts: {
        teamId: TeamId;
        inputFileId: FileId;
        endpoint: string;
        metadata: { [name: string]: string; };
        idempotencyKey: IdempotencyKey;
        /** Time from acceptance until the job is due, in milliseconds; the default if undefined. */
        dueMs: number | undefined;
    }): Promise<JobRecord>;
    /** Rejects with `JOB_NOT_FOUND` for a job of another team, as does each method with a job id. */
    getJob(opts: { teamId: TeamId; jobId: JobId; }): Promise<JobRecord>;
    listJobs(opts: { teamId: TeamId; limit?: number; afterJobId?: JobId; }): Promise<JobRecord[]>;
    cancelJob(opts: { teamId: TeamId; jobId: JobId; }): Promise<JobRecord>;
}
