import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";

/** A submitted job and the responses that its caller received. */
export interface Submission {
    idempotencyKey: IdempotencyKey;
    endpoint: string;
    inputFileId: FileId;
    bodies: JsonObject[];
    /** Requests sent to create the job. */
    sentCount: number;
    /** Requests of these that were rejected as not run. */
    notRunCount: number;
    /** The id of the job; undefined until it is acknowledged. */
    jobId: JobId | undefined;
    /** When a cancel was first acknowledged. */
    cancelledAtMs: number | undefined;
    cancelWasSent: boolean;
}
