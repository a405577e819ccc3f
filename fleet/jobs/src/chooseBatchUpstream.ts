import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { BatchCandidate } from "./batchCandidate.js";
import { roomForItems } from "./roomForItems.js";

/**
 * The upstream with the most room for one more item; undefined where none has room. Answers upstreams that are ill: one
 * that has failed the item is chosen only where no other has room, so that an item isn't given up for an upstream's sake.
 */
export function chooseBatchUpstream(
    candidates: readonly BatchCandidate[],
    failedAt: readonly UpstreamId[] = [],
): BatchCandidate | undefined {
    const withRoom = candidates.filter(candidate => roomForItems(candidate) > 0);
    const untried = withRoom.filter(candidate => !failedAt.includes(candidate.upstream.id));
    return (untried.length > 0 ? untried : withRoom)
        .reduce<BatchCandidate | undefined>(
            (best, candidate) => best === undefined || roomForItems(candidate) > roomForItems(best) ? candidate : best,
            undefined,
        );
}
