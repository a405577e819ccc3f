import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { BatchSource } from "@knapweedwood/batch.items/batchSource";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PlainGate } from "../src/plainGate.js";
import type { PlainUpstream } from "../src/plainUpstream.js";

const ITEM_TIMEOUT_MS = 5000;

const item: BatchItem = {
    jobId: "job" as JobId,
    itemIndex: 0 as ItemIndex,
    attempt: 1,
    teamId: "team" as TeamId,
    service: "ledger" as ServiceName,
    endpoint: "/services/ledger/receipts",
    body: {},
    dueAtMs: 0,
    repeatable: false,
};

/** Accepts a call and never responds. */
const silentUpstream: Pick<PlainUpstream, "call"> = {
    // eslint-disable-next-line require-yield
    async *call(_request, { signal }) {
        await new Promise(resolve => signal.addEventListener("abort", resolve));
        throw new KnapweedError("UPSTREAM_FAILED", "aborted", { outcome: "unknown" });
    },
};

test("an item accepted by a silent service is reported as possibly run, and stopping does not hang", async () => {
    const clock = new ManualClock();
    const results: BatchResult[] = [];
    const items = [item];
    const batchSource: BatchSource = {
        pull: count => Promise.resolve(items.splice(0, count)),
        report: reported => {
            results.push(...reported);
            return Promise.resolve();
        },
    };
    const gate = new PlainGate({ upstream: silentUpstream, batchSource, clock, logger: silentLogger });
    gate.setItemTimeout(ITEM_TIMEOUT_MS);
    gate.start();
    await clock.advance(ITEM_TIMEOUT_MS - 1);
    assert.equal(results.length, 0);
    const stopped = gate.stop();
    await clock.advance(1);
    await stopped;
    const [result] = results;
    assert.ok(result?.outcome.kind === "failed" && result.outcome.mayHaveRun);
});

// Half of a limit of one call is no call: a service that handles one call at a time never got an item, also while it was idle
// (the cause of review/14 at another place).
test("a service whose limit has fallen to one call gets items while no online call runs", async () => {
    const clock = new ManualClock();
    const ran: number[] = [];
    const pulled: number[] = [];
    let isFailing = true;
    const upstream: Pick<PlainUpstream, "call"> = {
        async *call() {
            await Promise.resolve();
            if (isFailing) {
                throw new KnapweedError("UPSTREAM_FAILED", "overloaded", { outcome: "not-run" });
            }
            ran.push(clock.nowMs());
            yield { kind: "end" } as never;
        },
    };
    const items = [item];
    const batchSource: BatchSource = {
        pull: count => {
            pulled.push(count);
            return Promise.resolve(items.splice(0, count));
        },
        report: () => Promise.resolve(),
    };
    const gate = new PlainGate({ upstream, batchSource, clock, logger: silentLogger });
    for (let call = 0; call < 40; call += 1) {
        const frames = gate.runOnline({} as never, { signal: new AbortController().signal } as never);
        await assert.rejects(async () => {
            for await (const _ of frames) {
                // The call fails before its first frame.
            }
        });
    }
    isFailing = false;
    gate.start();
    await clock.advance(1000);
    assert.equal(pulled[0], 1);
    assert.equal(ran.length, 1);
    const stopped = gate.stop();
    await clock.advance(1000);
    await stopped;
});
