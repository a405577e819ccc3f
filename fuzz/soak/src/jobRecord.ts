import type { JobItemRecord } from "./jobItemRecord.js";
import type { JobResult } from "./jobResult.js";

/** A batch job as its caller saw it. */
export interface JobRecord {
    id: string;
    items: JobItemRecord[];
    /** Status codes of the attempts to submit it; 0 where there was no answer. */
    attemptStatuses: number[];
    acceptedAtMs: number | undefined;
    cancelledAtMs: number | undefined;
    /** Results by position. */
    results: JobResult[];
    /** What a later read said otherwise than an earlier one. */
    contradictions: string[];
    /** When an answer of 404 came although the job was accepted long before. */
    missedAtMs: number[];
}
