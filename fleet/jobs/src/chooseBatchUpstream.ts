import type { BatchCandidate } from "./batchCandidate.js";
import { roomForItems } from "./roomForItems.js";

/** The upstream with the most room for one more item; undefined where none has room. */
export function chooseBatchUpstream(candidates: readonly BatchCandidate[]): BatchCandidate | undefined {
    return candidates
        .filter(candidate => roomForItems(candidate) > 0)
        .reduce<BatchCandidate | undefined>(
            (best, candidate) => best === undefined || roomForItems(candidate) > roomForItems(best) ? candidate : best,
            undefined,
        );
}
