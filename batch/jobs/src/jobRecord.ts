import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { JobState } from "./jobState.js";

/** Batch job, as callers see it. Times are milliseconds since the Unix epoch. */
export interface JobRecord {
    jobId: JobId;
    teamId: TeamId;
    endpoint: string;
    inputFileId: FileId;
    outputFileId: FileId | undefined;
    errorFileId: FileId | undefined;
    state: JobState;
    metadata: { [name: string]: string; };
    createdAtMs: number;
    dueAtMs: number;
    finishedAtMs: number | undefined;
    cancelledAtMs: number | undefined;
    itemCounts: { total: number; completed: number; failed: number; };
    /** Reasons for which the whole job was rejected, such as a malformed line of its input. */
    errors: { code: string; message: string; line?: number; }[];
}
