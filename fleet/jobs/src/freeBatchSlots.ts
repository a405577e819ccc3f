import type { BatchCandidate } from "./batchCandidate.js";

/** Slots that stay free of batch runs for the next online request. */
const RESERVED_SLOTS = 1;

/** Answers lulls: the number of items that an upstream may start without taking the last slot of online requests. */
export function freeBatchSlots(candidate: BatchCandidate): number {
    return Math.max(0, candidate.upstream.slots - RESERVED_SLOTS - candidate.online - candidate.batch);
}
