import type { JobItemRecord } from "./jobItemRecord.js";
import type { JobResult } from "./jobResult.js";

/** A batch job as its caller saw it. */
export interface JobRecord {
    id: string;
    items: JobItemRecord[];
    /** Status codes of the attempts to submit the job; 0 if there was no response. */
    attemptStatuses: number[];
    acceptedAtMs: number | undefined;
    cancelledAtMs: number | undefined;
    /** Results in the order of their positions. */
    results: JobResult[];
    /** Descriptions of each difference between a later read and an earlier one. */
    contradictions: string[];
    /** Times of reads that did not find the accepted job (status 404 or 410), as may happen just after acceptance. */
    missedAtMs: number[];
}
