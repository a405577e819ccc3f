import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** Returns the error for a segment without a copy. */
export function segmentNotFoundError(digest: SegmentDigest): KnapweedError {
    return new KnapweedError("SEGMENT_NOT_FOUND", `Segment ${digest} has no copy here`, { statusCode: 503 });
}
