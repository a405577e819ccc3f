import type { ItemId } from "@knapweedwood/core.ids/itemId";

/** An item as submitted by a caller. */
export interface SubmittedItem {
    id: ItemId;
    /** Path including the query string. */
    path: string;
    headers: { name: string; value: string; }[];
    body: Buffer;
    /** Sum of the prompt tokens and the maximum output tokens. */
    tokens: number;
}
