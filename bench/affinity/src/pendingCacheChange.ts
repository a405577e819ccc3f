import type { PrefixCacheChange } from "@knapweedwood/routing.choice/prefixCacheChange";

/** A cache event on its way. */
export interface PendingCacheChange {
    dueMs: number;
    change: PrefixCacheChange;
}
