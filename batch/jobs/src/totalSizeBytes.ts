import type { SegmentReference } from "@knapweedwood/batch.segments/segmentReference";

/** The size of all segments together, in bytes. */
export function totalSizeBytes(segments: readonly SegmentReference[]): number {
    return segments.reduce((sum, segment) => sum + segment.sizeBytes, 0);
}
