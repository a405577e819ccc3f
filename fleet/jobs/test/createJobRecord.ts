import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { JobRecord } from "../src/jobRecord.js";

/** Returns a job record for tests. Item ids are the job id with `-0`, `-1`, ... appended. */
export function createJobRecord(opts: { id: string; itemCount: number; dueAtMs?: number; }): JobRecord {
    return {
        jobId: opts.id as JobId,
        routeName: "route",
        host: "host",
        acceptedAtMs: 0,
        dueAtMs: opts.dueAtMs ?? 18_000,
        expiresAtMs: 60_000,
        maxAttempts: 3,
        partCount: 0,
        items: Array.from({ length: opts.itemCount }, (_, index) => ({
            id: `${opts.id}-${index}` as ItemId,
            path: "/p/",
            headers: [],
            tokens: 100,
            bodyOffset: 0,
            bodyBytes: 0,
        })),
        nonce: opts.id,
    };
}
