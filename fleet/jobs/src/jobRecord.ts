import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { JobItemRecord } from "./jobItemRecord.js";

/** An accepted job as it is stored; the bodies of its items lie in parts beside it. */
export interface JobRecord {
    jobId: JobId;
    routeName: string;
    host: string;
    acceptedAtMs: number;
    /** When all results are due. */
    dueAtMs: number;
    /** When items may be given up. */
    expiresAtMs: number;
    /** Failed attempts after which an item is given up. */
    maxAttempts: number;
    partCount: number;
    items: JobItemRecord[];
    /** Tells this write from that of another process that accepts the same job. */
    nonce: string;
}
