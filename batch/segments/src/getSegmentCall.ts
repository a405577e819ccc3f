import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Asks an instance with a data folder for its copy; one frame, without bytes where it holds none. */
export const getSegmentCall = defineCall<{ digest: SegmentDigest; }, { bytes: Uint8Array | undefined; }>(
    "batch.get-segment",
);
