import type { ResultSegment } from "@knapweedwood/batch.jobs/resultSegment";

/** A segment of results that is stored and not yet committed. */
export interface SealedResults {
    segment: ResultSegment;
    /** Indexes of the items in the segment, shape [results]. */
    indexes: number[];
    failedCount: number;
}
