import type { BatchCandidate } from "./batchCandidate.js";
import { chooseItemSlots } from "./chooseItemSlots.js";
import { findItemSlots } from "./findItemSlots.js";

/**
 * Returns the upstream for a batch item among all those of its service that may be used now; undefined if none has a slot
 * for it.
 */
export function chooseBatchUpstream(
    candidates: readonly BatchCandidate[],
    opts?: Parameters<typeof chooseItemSlots>[1],
): BatchCandidate | undefined {
    return chooseItemSlots(findItemSlots(candidates), opts)?.candidate;
}
