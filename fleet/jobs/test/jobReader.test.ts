import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { JobReader } from "../src/jobReader.js";
import { JobTable } from "../src/jobTable.js";
import { createJobRecord } from "./createJobRecord.js";

// A read looked for a job just before the leader had collected the held jobs. The collection was complete when the read
// ended, and the reader answered that the job doesn't exist.
test("a held job that is collected during a read of it is found", async () => {
    const record = createJobRecord({ id: "j", itemCount: 3 });
    const table = new JobTable();
    let knowsHeldJobs = false;
    const get = () => {
        table.applyHeld({ record, bodies: Buffer.alloc(0), maxWaitingTokens: undefined });
        knowsHeldJobs = true;
        return Promise.resolve(undefined);
    };
    const reader = new JobReader({
        clock: new ManualClock(),
        service: { get } as unknown as SnapshotKeyValueService,
        table,
        isCurrent: () => true,
        reachableSinceMs: () => -Infinity,
        knowsHeldJobs: () => knowsHeldJobs,
        apply: () => undefined,
    });
    const { signal } = new AbortController();
    const page = await reader.results({ jobId: record.jobId, after: 0, waitMs: 0, signal });
    assert.equal(page?.total, 3);
});
