import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { JobId } from "@knapweedwood/core.ids/jobId";

/** An item that a gate has and whose result no owner has taken yet. */
export interface HeldItem {
    jobId: JobId;
    itemIndex: ItemIndex;
    attempt: number;
}
