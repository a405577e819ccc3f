import type { BatchCandidate } from "./batchCandidate.js";
import { idleSlotsOf } from "./idleSlotsOf.js";
import type { ItemSlots } from "./itemSlots.js";

/** Slots that items leave idle for the next online request, at each upstream that has more and in the whole service. */
const RESERVED_SLOTS = 1;

/**
 * Returns the slots of a service in which items may start. Each upstream keeps a slot for the next online request. One
 * that has no other slot may run an item as long as the service has another idle slot.
 *
 * If no slot is left by this rule and no item of the service runs, one item may have a reserved slot. Otherwise a service
 * of a single slot, or one whose long requests leave only reserved slots, would never run its items.
 *
 * Load pattern: upstreams with few slots each, down to a single one in the whole service, and online requests with pauses.
 *
 * @param candidates all upstreams of the service that may be used now
 */
export function findItemSlots(candidates: readonly BatchCandidate[]): ItemSlots[] {
    const idle = candidates.reduce((sum, candidate) => sum + idleSlotsOf(candidate), 0);
    const shared = idle > RESERVED_SLOTS ? candidates.flatMap(sharedSlotsOf) : [];
    if (shared.length > 0) {
        return shared;
    }
    const hasRun = candidates.some(({ batch }) => batch > 0);
    return hasRun ? [] : candidates.flatMap(lentSlotOf);
}

function sharedSlotsOf(candidate: BatchCandidate): ItemSlots[] {
    const reserved = Math.min(RESERVED_SLOTS, candidate.upstream.slots - 1);
    const count = idleSlotsOf(candidate) - reserved;
    return count > 0 ? [{ candidate, count, isLent: false }] : [];
}

function lentSlotOf(candidate: BatchCandidate): ItemSlots[] {
    return idleSlotsOf(candidate) > 0 ? [{ candidate, count: 1, isLent: true }] : [];
}
