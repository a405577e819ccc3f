import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import type { JobItem } from "./jobItem.js";

/** Records at an item which upstreams have rejected it, as full or for the version that it demands, until one runs it. */
export function recordRejection(item: JobItem, upstreamId: UpstreamId, outcome: ItemRunOutcome): void {
    const others = item.rejectedByUpstreamIds.filter(id => id !== upstreamId);
    item.rejectedByUpstreamIds = outcome.kind === "not-run" ? [...others, upstreamId] : [];
}
