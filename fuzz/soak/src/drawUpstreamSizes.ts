import type { Random } from "@knapweedwood/core.random/random";
import { drawShare } from "./drawShare.js";
import type { UpstreamSizes } from "./upstreamSizes.js";

const USUAL_SLOTS = 8;
const USUAL_QUEUED = 8;
/** Share of the soaks whose upstreams have one slot, and share of these whose upstreams have no queue. */
const ONE_SLOT_SHARE = 0.35;
const NO_QUEUE_SHARE = 0.5;
/** Share of the soaks whose upstreams have large entries. */
const LARGE_ENTRIES_SHARE = 0.35;
const MANY_ADAPTERS = 1200;

/**
 * Draws the sizes of the upstreams: usual ones, or those of a deployment at the limits of what is valid.
 *
 * @param randomOf returns a generator of the soak for a number from 0 to 2
 */
export function drawUpstreamSizes(randomOf: (number: number) => Random): UpstreamSizes {
    const hasOneSlot = drawShare(randomOf(0), ONE_SLOT_SHARE);
    const hasNoQueue = drawShare(randomOf(1), NO_QUEUE_SHARE);
    const hasLargeEntries = drawShare(randomOf(2), LARGE_ENTRIES_SHARE);
    return {
        modelSlots: hasOneSlot ? 1 : USUAL_SLOTS,
        maxQueued: hasOneSlot && hasNoQueue ? 0 : USUAL_QUEUED,
        adapters: hasLargeEntries ? MANY_ADAPTERS : 0,
    };
}
