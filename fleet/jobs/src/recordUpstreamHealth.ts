import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import { mayBeDueToItem } from "./mayBeDueToItem.js";

/** Records what the outcome of an item's run says about the health of its upstream. */
export function recordUpstreamHealth(
    health: UpstreamHealth,
    upstreamId: UpstreamId,
    outcome: ItemRunOutcome,
    nowMs: number,
): void {
    if (mayBeDueToItem(outcome)) {
        return;
    }
    if (outcome.kind === "broken" || outcome.kind === "garbled") {
        health.onFailure(upstreamId, nowMs);
    }
    else if (outcome.kind === "not-run" && outcome.isMisdirected) {
        health.onMisdirected(upstreamId, nowMs);
    }
    else if (outcome.kind !== "unsendable") {
        health.onSuccess(upstreamId, nowMs);
    }
}
