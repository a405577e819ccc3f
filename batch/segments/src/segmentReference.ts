import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** A segment of a file, in records. */
export interface SegmentReference {
    digest: SegmentDigest;
    sizeBytes: number;
    /** Lines that end in this segment. */
    lineCount: number;
}
