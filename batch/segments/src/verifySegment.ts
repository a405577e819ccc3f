import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** Returns `bytes` if they match `digest`. Throws `SEGMENT_CORRUPT` otherwise. */
export function verifySegment(digest: SegmentDigest, bytes: Uint8Array): Uint8Array {
    if (digestOf(bytes) !== digest) {
        throw new KnapweedError("SEGMENT_CORRUPT", `Segment ${digest} does not match its digest`, { statusCode: 500 });
    }
    return bytes;
}
