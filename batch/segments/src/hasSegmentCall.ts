import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Asks whether an instance has a copy that matches its digest. Yields one frame. */
export const hasSegmentCall = defineCall<{ digest: SegmentDigest; }, { held: boolean; }>("batch.has-segment");
