import type { BatchItem } from "./batchItem.js";
import type { BatchResult } from "./batchResult.js";

/** Source of batch items for a gate. */
export interface BatchSource {
    /** Requests up to `count` items. @returns the items, shape [0..count] */
    pull(count: number): Promise<BatchItem[]>;
    /** Reports results. Resolves once an owner has accepted them, or once they are no longer needed. */
    report(results: BatchResult[]): Promise<void>;
}
