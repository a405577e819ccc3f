import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Asks an instance to remove its copy. Yields one frame. */
export const removeSegmentCall = defineCall<{ digest: SegmentDigest; }, { removed: boolean; }>("batch.remove-segment");
