import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { BatchCandidate } from "./batchCandidate.js";
import { freeBatchSlots } from "./freeBatchSlots.js";

/**
 * The upstream with the most room for one more item; undefined where none has room. Answers upstreams that are ill: one
 * that has failed the item is chosen only where no other has room, so that an item isn't given up for an upstream's sake.
 */
export function chooseBatchUpstream(
    candidates: readonly BatchCandidate[],
    failedUpstreamIds: readonly UpstreamId[] = [],
): BatchCandidate | undefined {
    const withFreeSlots = candidates.filter(candidate => freeBatchSlots(candidate) > 0);
    const untried = withFreeSlots.filter(candidate => !failedUpstreamIds.includes(candidate.upstream.id));
    return (untried.length > 0 ? untried : withFreeSlots)
        .reduce<BatchCandidate | undefined>(
            (best, candidate) =>
                best === undefined || freeBatchSlots(candidate) > freeBatchSlots(best) ? candidate : best,
            undefined,
        );
}
