import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";

/** A job that was sent, as the oracle knows it. */
export interface Submission {
    idempotencyKey: IdempotencyKey;
    endpoint: string;
    inputFileId: FileId;
    bodies: JsonObject[];
    /** Requests sent so far, and how many were refused as not run. */
    sentCount: number;
    notRunCount: number;
    /** The job, once acknowledged. */
    jobId: JobId | undefined;
    /** When a cancel was acknowledged. */
    cancelledAtMs: number | undefined;
    cancelWasSent: boolean;
}
