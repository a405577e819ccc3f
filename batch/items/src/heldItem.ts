import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { JobId } from "@knapweedwood/core.ids/jobId";

/** Item that a gate holds and whose result no owner has accepted yet. */
export interface HeldItem {
    jobId: JobId;
    itemIndex: ItemIndex;
    attempt: number;
}
