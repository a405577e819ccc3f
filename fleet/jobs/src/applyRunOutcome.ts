import type { ItemRunOutcome } from "./itemRunOutcome.js";
import type { JobItem } from "./jobItem.js";

/** Pause before an item that failed runs again, in milliseconds. */
const RETRY_DELAY_MS = 300;
/** Pause before an item that did not fail by itself runs again, in milliseconds. */
const RESUME_DELAY_MS = 50;

/**
 * Notes on the item what came of a run. An item is given up only where an upstream says that it can't be done or has
 * failed it as often as allowed; broken runs don't count against it.
 */
export function applyRunOutcome(
    item: JobItem,
    outcome: ItemRunOutcome,
    opts: { nowMs: number; maxAttempts: number; },
): "completed" | "given-up" | "retry" {
    switch (outcome.kind) {
        case "completed":
            return "completed";
        case "impossible":
            return "given-up";
        case "failed":
            item.failedAttempts += 1;
            item.notBeforeMs = opts.nowMs + RETRY_DELAY_MS;
            return item.failedAttempts >= opts.maxAttempts ? "given-up" : "retry";
        case "garbled":
            item.events = [];
            item.lastEventId = 0;
            item.notBeforeMs = opts.nowMs + RETRY_DELAY_MS;
            return "retry";
        case "broken":
        case "not-run":
            item.notBeforeMs = opts.nowMs + RESUME_DELAY_MS;
            return "retry";
    }
}
