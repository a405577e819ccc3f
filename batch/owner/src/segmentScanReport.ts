import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** Result of one scan of the segments. */
export interface SegmentScanReport {
    checkedCount: number;
    /** Segments with at least one copy that could not be brought to the required number of copies. */
    singleCopy: SegmentDigest[];
    /** Segments of which no copy was found. */
    lost: SegmentDigest[];
}
