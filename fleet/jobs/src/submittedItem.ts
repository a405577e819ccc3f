import type { ItemId } from "@knapweedwood/core.ids/itemId";

/** An item as a caller submits it. */
export interface SubmittedItem {
    id: ItemId;
    /** With the query. */
    path: string;
    headers: { name: string; value: string; }[];
    body: Buffer;
    /** Tokens of the prompt and most tokens of the answer, summed. */
    tokens: number;
}
