import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import { createHash } from "node:crypto";

/** Returns the SHA-256 digest of `bytes`, in hexadecimal. */
export function digestOf(bytes: Uint8Array | string): SegmentDigest {
    return createHash("sha256").update(bytes).digest("hex") as SegmentDigest;
}
