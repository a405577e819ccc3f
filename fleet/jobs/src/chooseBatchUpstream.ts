import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { BatchCandidate } from "./batchCandidate.js";
import { freeBatchSlots } from "./freeBatchSlots.js";

/**
 * Returns the upstream with the most free slots for batch items; undefined if none has any. An upstream at which the
 * item has failed is chosen only if no other has a free slot. Otherwise a single faulty upstream could make the item
 * fail permanently.
 */
export function chooseBatchUpstream(
    candidates: readonly BatchCandidate[],
    failedUpstreamIds: readonly UpstreamId[] = [],
): BatchCandidate | undefined {
    const withFreeSlots = candidates.filter(candidate => freeBatchSlots(candidate) > 0);
    const withoutFailure = withFreeSlots.filter(candidate => !failedUpstreamIds.includes(candidate.upstream.id));
    return (withoutFailure.length > 0 ? withoutFailure : withFreeSlots)
        .reduce<BatchCandidate | undefined>(
            (best, candidate) =>
                best === undefined || freeBatchSlots(candidate) > freeBatchSlots(best) ? candidate : best,
            undefined,
        );
}
