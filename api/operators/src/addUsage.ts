import type { UsageTotals } from "./usageTotals.js";

/** Returns the sum of two totals. Missing counts are 0. */
export function addUsage(left: Partial<UsageTotals>, right: Partial<UsageTotals>): UsageTotals {
    return {
        calls: (left.calls ?? 0) + (right.calls ?? 0),
        items: (left.items ?? 0) + (right.items ?? 0),
        promptTokens: (left.promptTokens ?? 0) + (right.promptTokens ?? 0),
        completionTokens: (left.completionTokens ?? 0) + (right.completionTokens ?? 0),
    };
}
