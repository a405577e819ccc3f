import type { PrefixCacheChange } from "@knapweedwood/routing.choice/prefixCacheChange";

/** A cache event that has been sent and is not yet delivered. */
export interface PendingCacheChange {
    dueMs: number;
    change: PrefixCacheChange;
}
