import type { ItemProgress } from "./itemProgress.js";

/** Returns only the progress fields of an item. */
export function pickProgress(progress: ItemProgress): ItemProgress {
    const { events, lastEventId, service, softwareVersion, failedAttempts, isImpossible, isComplete } = progress;
    return { events, lastEventId, service, softwareVersion, failedAttempts, isImpossible, isComplete };
}
