import type { JobRecord } from "./jobRecord.js";

/** Returns the tokens of all items of a job. */
export function countJobTokens(record: JobRecord): number {
    return record.items.reduce((sum, item) => sum + item.tokens, 0);
}
