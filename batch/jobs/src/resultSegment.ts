import type { SegmentReference } from "@knapweedwood/batch.segments/segmentReference";

/** A committed segment of results, in the order of their items. */
export interface ResultSegment extends SegmentReference {
    firstIndex: number;
    lastIndex: number;
}
