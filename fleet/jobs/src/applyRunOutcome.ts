import { discardEvents } from "./discardEvents.js";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import type { JobItem } from "./jobItem.js";
import { mayBeDueToItem } from "./mayBeDueToItem.js";

/** Pause before an item runs again after it failed or its output was discarded, in milliseconds. */
const RETRY_DELAY_MS = 300;
/** Pause before an item runs again after its run was interrupted or did not start, in milliseconds. */
const RESUME_DELAY_MS = 50;
/** Longest pause before an item runs again that has got no usable output several times in a row, in milliseconds. */
const MAX_DISCARDED_DELAY_MS = 4800;
/** Longest pause before an item runs again that upstreams have rejected several times in a row, in milliseconds. */
const MAX_REJECTED_DELAY_MS = 1600;

/**
 * Updates an item after a run and returns the next step. An item fails permanently only if an upstream reports that it
 * can't be processed, or after `maxAttempts` failures, of which one is that it can't be sent. Interrupted runs don't count as
 * failures.
 */
export function applyRunOutcome(
    item: JobItem,
    outcome: ItemRunOutcome,
    opts: { nowMs: number; maxAttempts: number; },
): "completed" | "given-up" | "retry" {
    if (outcome.kind !== "not-run") {
        item.consecutiveRejections = 0;
    }
    switch (outcome.kind) {
        case "completed":
            return "completed";
        case "impossible":
            item.isImpossible = true;
            return "given-up";
        case "failed":
        case "unsendable":
            item.failedAttempts += 1;
            item.notBeforeMs = opts.nowMs + RETRY_DELAY_MS;
            return item.failedAttempts >= opts.maxAttempts ? "given-up" : "retry";
        case "garbled":
            discardEvents(item);
            item.notBeforeMs = opts.nowMs + discardedDelayMs(item, outcome);
            return "retry";
        case "broken":
            item.notBeforeMs = opts.nowMs + RESUME_DELAY_MS;
            return "retry";
        case "not-run":
            item.notBeforeMs = opts.nowMs + rejectedDelayMs(item, outcome.isMisdirected);
            return "retry";
    }
}

/** Each answer in a row that may be due to the item doubles the pause: the item may get the same one from every upstream. */
function discardedDelayMs(item: JobItem, outcome: ItemRunOutcome): number {
    if (!mayBeDueToItem(outcome)) {
        return RETRY_DELAY_MS;
    }
    const delayMs = Math.min(MAX_DISCARDED_DELAY_MS, RETRY_DELAY_MS * 2 ** item.consecutiveDiscards);
    item.consecutiveDiscards += 1;
    return delayMs;
}

/** Each rejection in a row doubles the pause: an item may demand what no upstream has. */
function rejectedDelayMs(item: JobItem, isMisdirected: boolean): number {
    if (isMisdirected) {
        return RESUME_DELAY_MS;
    }
    const delayMs = Math.min(MAX_REJECTED_DELAY_MS, RESUME_DELAY_MS * 2 ** item.consecutiveRejections);
    item.consecutiveRejections += 1;
    return delayMs;
}
