import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Asks an instance with a data folder to store a copy. Yields one frame once the copy is synced. */
export const putSegmentCall = defineCall<{ bytes: Uint8Array; }, { digest: SegmentDigest; }>("batch.put-segment");
