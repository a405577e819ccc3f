import type { BatchItem } from "./batchItem.js";
import type { BatchResult } from "./batchResult.js";

/** Where a gate gets batch items from. */
export interface BatchSource {
    /** Asks for up to `count` items. @returns the items, shape [0..count] */
    pull(count: number): Promise<BatchItem[]>;
    /** Reports results; resolves once an owner has taken them, or they can't matter any more. */
    report(results: BatchResult[]): Promise<void>;
}
