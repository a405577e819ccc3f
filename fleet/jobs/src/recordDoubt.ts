import type { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import type { ItemRun } from "./itemRun.js";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import { mayBeDueToItem } from "./mayBeDueToItem.js";

/**
 * Records which upstreams have answered an item without usable output. They count as failing only once another upstream
 * has written output of the item: an item that gets such answers from all of them says nothing of the upstreams.
 */
export function recordDoubt(
    health: UpstreamHealth,
    { item, upstream, eventCount }: Pick<ItemRun, "item" | "upstream" | "eventCount">,
    outcome: ItemRunOutcome,
    nowMs: number,
): void {
    if (mayBeDueToItem(outcome)) {
        item.doubtedUpstreamIds = [...new Set([...item.doubtedUpstreamIds, upstream.id])];
        return;
    }
    const hasWrittenOutput = outcome.kind === "completed" || (outcome.kind === "broken" && eventCount > 0);
    if (hasWrittenOutput) {
        item.doubtedUpstreamIds.filter(id => id !== upstream.id).forEach(id => health.onFailure(id, nowMs));
        item.doubtedUpstreamIds = [];
        item.consecutiveDiscards = 0;
    }
}
