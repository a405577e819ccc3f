import type { JobRecord } from "./jobRecord.js";

/** Tokens of all items of a job. */
export function countJobTokens(record: JobRecord): number {
    return record.items.reduce((sum, item) => sum + item.tokens, 0);
}
