import type { SegmentReference } from "@knapweedwood/batch.segments/segmentReference";
import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Immutable record of an accepted job. Times are milliseconds since the Unix epoch. */
export interface JobManifest {
    jobId: JobId;
    teamId: TeamId;
    endpoint: string;
    inputFileId: FileId;
    input: SegmentReference[];
    metadata: { [name: string]: string; };
    idempotencyKey: IdempotencyKey;
    createdAtMs: number;
    dueAtMs: number;
}
