import type { JobItemRecord } from "./jobItemRecord.js";
import type { JobResult } from "./jobResult.js";
import type { JobRoute } from "./jobRoute.js";
import type { JobTraits } from "./jobTraits.js";

/** A batch job as its caller saw it. */
export interface JobRecord {
    id: string;
    route: JobRoute;
    /** The team whose keys the caller sends; undefined without teams. */
    team: string | undefined;
    items: JobItemRecord[];
    traits: JobTraits;
    /** Time at which the first attempt to submit the job began. */
    submittedAtMs: number;
    /** Status codes of the attempts to submit the job; 0 if there was no response. */
    attemptStatuses: number[];
    acceptedAtMs: number | undefined;
    cancelledAtMs: number | undefined;
    /** Results in the order of their positions. */
    results: JobResult[];
    /** Time at which each result was read first, shape [results]. */
    readAtMs: number[];
    /** Descriptions of each difference between a later read and an earlier one. */
    contradictions: string[];
    /** Times of reads that did not find the accepted job (status 404 or 410), as may happen just after acceptance. */
    missedAtMs: number[];
}
