import type { ItemProgress } from "./itemProgress.js";

/** Drops the events of an item, so that its next run starts from the beginning. */
export function discardEvents(item: ItemProgress): void {
    item.events = [];
    item.lastEventId = 0;
}
