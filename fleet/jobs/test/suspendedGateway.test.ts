import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { Route } from "@knapweedwood/fleet.view/route";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { giveUpReason } from "../src/giveUpReason.js";
import { JobAcceptor } from "../src/jobAcceptor.js";
import { jobKeys } from "../src/jobKeys.js";
import type { JobRecord } from "../src/jobRecord.js";

/** Two suspensions of an instance, each shorter than the allowed difference of clocks, in milliseconds. */
const SUSPENDED_MS = 2 * 3200;
const RETENTION_MS = 60_000;
const EARLY_MS = 1000;
const route = { name: "r", host: "h", prefix: "/p/", kind: "batch", maxAttempts: 3, jobRetentionMs: RETENTION_MS };

// The steady clock doesn't count the time for which an instance is suspended, and the clock of a process follows only the
// steady one after its start. So a gateway falls behind with each suspension, and the times of its jobs are too early.
test("items of a job that a gateway accepted after two suspensions aren't given up early", async () => {
    const clock = new SystemClock();
    const service = new MemoryKeyValueService({ clock });
    const acceptor = new JobAcceptor({
        service,
        clock,
        logger: silentLogger,
        holder: { hold: () => Promise.resolve("not-held") },
        areHeldJobsWritten: () => true,
        isKnownToLeader: () => Promise.resolve(false),
        isTokenCountComplete: () => true,
    });
    const now = Date.now.bind(Date);
    const timeOfDay = mock.method(Date, "now", () => now() + SUSPENDED_MS);
    const jobId = "j" as JobId;
    const sentAtMs = Date.now();
    const items = [{ id: "j-0" as ItemId, path: "/p/", headers: [], body: Buffer.from("b"), tokens: 1 }];
    await acceptor.accept(route as unknown as Route, { jobId, items });
    timeOfDay.mock.restore();
    const entry = await service.get(jobKeys.record(jobId));
    service.close();
    const record = decodeRecord<JobRecord>(entry!.value);
    const leaderNowMs = sentAtMs + RETENTION_MS - EARLY_MS;
    assert.equal(giveUpReason(record, { nowMs: leaderNowMs, missingSinceMs: Infinity }), undefined);
});
