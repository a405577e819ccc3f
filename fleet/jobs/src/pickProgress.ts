import type { ItemProgress } from "./itemProgress.js";

/** The progress of an item without what else is known of it. */
export function pickProgress({ events, lastEventId, failedAttempts, isComplete }: ItemProgress): ItemProgress {
    return { events, lastEventId, failedAttempts, isComplete };
}
