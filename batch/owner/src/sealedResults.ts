import type { ResultSegment } from "@knapweedwood/batch.jobs/resultSegment";

/** A segment of results that is stored and not yet committed. */
export interface SealedResults {
    segment: ResultSegment;
    /** Items in it, shape [results]. */
    indexes: number[];
    failedCount: number;
}
