// Items went to an upstream that had named a limit as if it had none, also those that were resumed after a failure.
import type { ExchangeHandler } from "@knapweedwood/fleet.upstreams/exchangeHandler";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { createTestRunner } from "./createTestRunner.js";
import { runnerTestLoad } from "./runnerTestLoad.js";

const BROKEN = { mayHaveRun: true, isUnreachable: false, isConnectionBroken: false, code: "BROKEN" };

test("items, and those that run again, go only to upstreams whose limits leave room", async () => {
    const [limited, ...others] = runnerTestLoad.upstreamIds;
    const sentTo: string[] = [];
    const connections = new UpstreamConnections();
    mock.method(
        connections,
        "send",
        (upstream: Upstream, _request: unknown, handler: ExchangeHandler) => {
            sentTo.push(upstream.id);
            setImmediate(() => handler.onFailure(BROKEN));
            return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
        },
    );
    let room = 1;
    const { clock, runner } = await createTestRunner({
        busySlots: 0,
        jobs: 2,
        connections,
        limits: {
            limitOf: ({ id }) => id === limited ? 1 : undefined,
            mayRunItem: ({ id }) => id !== limited || sentTo.filter(name => name === limited).length < room,
        },
    });
    assert.equal(sentTo.filter(id => id === limited).length, 1);
    assert.ok(sentTo.some(id => others.some(other => other === id)));
    room = 3;
    await clock.advance(20_000);
    assert.equal(sentTo.filter(id => id === limited).length, 3);
    runner.stop();
});
