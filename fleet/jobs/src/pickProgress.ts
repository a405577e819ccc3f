import type { ItemProgress } from "./itemProgress.js";

/** Returns only the progress fields of an item. */
export function pickProgress({ events, lastEventId, failedAttempts, isComplete }: ItemProgress): ItemProgress {
    return { events, lastEventId, failedAttempts, isComplete };
}
