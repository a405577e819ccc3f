import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ItemProgress } from "./itemProgress.js";
import type { JobItemRecord } from "./jobItemRecord.js";

/** An item of an open job, as the runner knows it. */
export interface JobItem extends ItemProgress {
    readonly record: JobItemRecord;
    readonly id: ItemId;
    /** Position among the job's items. */
    readonly index: number;
    state: "pending" | "running" | "finished" | "stored";
    /** Before this time the item is not started again. */
    notBeforeMs: number;
    /** Upstreams that ran the item and failed, as far as this process saw it. */
    failedUpstreamIds: UpstreamId[];
}
