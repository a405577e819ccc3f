import type { BatchCandidate } from "./batchCandidate.js";
import type { ItemTimes } from "./itemTimes.js";

/**
 * Returns whether an item that is late only at the slow upstream chosen for it would be on time if it waited for a slot
 * of a faster one. The items there are assumed to end at even intervals and to take as long as this one.
 *
 * @param others returns all candidates of the service, also those without a free slot, shape [candidates]
 * @param opts.itemsAhead number of items that wait for such a slot before this one
 */
export function endsEarlierByWaiting(
    chosen: BatchCandidate,
    others: () => readonly BatchCandidate[],
    opts: { times: ItemTimes; itemsAhead: number; },
): boolean {
    const { times: { remainingMs, leftMs }, itemsAhead } = opts;
    const slowness = chosen.slowness ?? 1;
    if (remainingMs * slowness <= leftMs || remainingMs > leftMs) {
        return false;
    }
    const faster = others().filter(other => (other.slowness ?? 1) <= 1 && other.batch > 0);
    if (faster.length === 0) {
        return false;
    }
    const endsPerMs = faster.reduce((sum, other) => sum + other.batch / (remainingMs * (other.slowness ?? 1)), 0);
    const slowest = Math.max(...faster.map(other => other.slowness ?? 1));
    return (itemsAhead + 1) / endsPerMs + remainingMs * slowest <= leftMs;
}
