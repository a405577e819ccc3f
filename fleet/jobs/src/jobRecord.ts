import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { JobItemRecord } from "./jobItemRecord.js";

/** An accepted job as it is stored. The bodies of its items are stored in separate parts. */
export interface JobRecord {
    jobId: JobId;
    routeName: string;
    /** The team that submitted the job; absent if it has none. */
    team?: TeamId;
    host: string;
    acceptedAtMs: number;
    /** Time at which all results are due, Unix ms. */
    dueAtMs: number;
    /** Time after which items may be abandoned, Unix ms. */
    expiresAtMs: number;
    /** Number of failed attempts after which an item fails permanently. */
    maxAttempts: number;
    partCount: number;
    items: JobItemRecord[];
    /** Distinguishes this write from that of another process that accepts the same job. */
    nonce: string;
}
