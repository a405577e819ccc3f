import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Requests the copy of an instance with a data folder. Yields one frame, without bytes if it has no copy. */
export const getSegmentCall = defineCall<{ digest: SegmentDigest; }, { bytes: Uint8Array | undefined; }>(
    "batch.get-segment",
);
