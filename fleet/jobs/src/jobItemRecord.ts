import type { ItemId } from "@knapweedwood/core.ids/itemId";

/** An item of an accepted job as it is stored. */
export interface JobItemRecord {
    id: ItemId;
    path: string;
    headers: { name: string; value: string; }[];
    tokens: number;
    /** Offset of the body in the concatenated parts of the job, in bytes. */
    bodyOffset: number;
    bodyBytes: number;
}
