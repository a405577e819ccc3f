import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ItemSlots } from "./itemSlots.js";

/**
 * Returns the slots at upstreams that haven't rejected an item. If all have, returns those of the one that did so the longest
 * ago, so that the item goes round. An upstream may be full with requests that don't come through this system.
 *
 * @param rejectedBy upstreams that have rejected the item since its last run, the last one at the end
 */
export function avoidRejectingUpstreams(slots: readonly ItemSlots[], rejectedBy: readonly UpstreamId[]): ItemSlots[] {
    const ranked = slots.map(one => ({ one, rank: rejectedBy.indexOf(one.candidate.upstream.id) }));
    const lowest = Math.min(...ranked.map(({ rank }) => rank));
    return ranked.filter(({ rank }) => rank === lowest).map(({ one }) => one);
}
