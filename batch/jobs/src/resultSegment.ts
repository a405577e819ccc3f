import type { SegmentReference } from "@knapweedwood/batch.segments/segmentReference";

/** Committed segment of results, in item order. */
export interface ResultSegment extends SegmentReference {
    firstIndex: number;
    lastIndex: number;
}
