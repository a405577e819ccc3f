import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ItemProgress } from "./itemProgress.js";
import type { JobItemRecord } from "./jobItemRecord.js";

/** An item of an open job with the state that the runner keeps for it. */
export interface JobItem extends ItemProgress {
    readonly record: JobItemRecord;
    readonly id: ItemId;
    /** Position among the job's items. */
    readonly index: number;
    /** `finished` items have a result that is not stored yet. */
    state: "pending" | "running" | "finished" | "stored";
    /** Time before which the item is not started again, Unix ms. */
    notBeforeMs: number;
    /** Number of times in a row that upstreams have rejected the item without running it. */
    consecutiveRejections: number;
    /** Upstreams that have done so since the last run, the last one at the end. */
    rejectedByUpstreamIds: UpstreamId[];
    /** Number of times in a row that the answer to the item was no usable output, which may be due to the item. */
    consecutiveDiscards: number;
    /** Upstreams that gave these answers. If another one writes output, they were at fault. */
    doubtedUpstreamIds: UpstreamId[];
    /** Time at which the last run of this process ended, Unix ms; -Infinity if there was none. */
    lastRunEndedAtMs: number;
    /** Upstreams that ran the item and failed, as observed by this process. */
    failedUpstreamIds: UpstreamId[];
}
