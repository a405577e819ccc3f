import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** What a sweep over segments found. */
export interface SegmentScanReport {
    checkedCount: number;
    /** Segments that could not be brought to their number of copies. */
    singleCopy: SegmentDigest[];
    /** Segments of which no copy was found. */
    lost: SegmentDigest[];
}
