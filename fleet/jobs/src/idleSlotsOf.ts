import type { BatchCandidate } from "./batchCandidate.js";

/** Returns how many slots of an upstream neither online requests nor items take. */
export function idleSlotsOf({ upstream, online, batch }: BatchCandidate): number {
    return Math.max(0, upstream.slots - online - batch);
}
