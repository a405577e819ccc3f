import type { ItemId } from "@knapweedwood/core.ids/itemId";

/** The final result of an item. */
export interface ItemResult {
    itemId: ItemId;
    state: "completed" | "given-up";
    /** Data of all events in order, separated by line feeds. */
    output: string;
}
