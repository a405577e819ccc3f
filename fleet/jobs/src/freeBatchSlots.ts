import type { BatchCandidate } from "./batchCandidate.js";

/** Slots that batch items leave free for the next online request. */
const RESERVED_SLOTS = 1;

/** Returns how many more items an upstream may start while a slot stays reserved for online requests. */
export function freeBatchSlots(candidate: BatchCandidate): number {
    return Math.max(0, candidate.upstream.slots - RESERVED_SLOTS - candidate.online - candidate.batch);
}
