import type { ItemId } from "@knapweedwood/core.ids/itemId";

/** An item of an accepted job. */
export interface JobItemRecord {
    id: ItemId;
    path: string;
    headers: { name: string; value: string; }[];
    tokens: number;
    /** Where the body lies in the concatenation of the job's parts. */
    bodyOffset: number;
    bodyBytes: number;
}
