import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** Reference to a segment of a file, as stored in records. */
export interface SegmentReference {
    digest: SegmentDigest;
    sizeBytes: number;
    /** Number of lines that end in this segment. */
    lineCount: number;
}
