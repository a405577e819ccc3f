import type { SegmentReference } from "@knapweedwood/batch.segments/segmentReference";

/** Returns the total size of all segments, in bytes. */
export function totalSizeBytes(segments: readonly SegmentReference[]): number {
    return segments.reduce((sum, segment) => sum + segment.sizeBytes, 0);
}
