// The connection of a link goes silent, and so does each new one for a while: the calls in progress can't go on.
import { collectFrames } from "@knapweedwood/links.calls/collectFrames";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import { TcpRelay } from "@knapweedwood/standins.network/tcpRelay";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { createTestEndpoint } from "./createTestEndpoint.js";

const echoCall = defineCall<{ delayMs: number; }, { isDone: boolean; }>("test.echo");
/** Longer than a session survives without a connection. */
const LONG_DELAY_MS = 10_000;
const PROGRESS_MS = 100;

async function start(context: TestContext) {
    const server = createTestEndpoint(context, "server");
    const client = createTestEndpoint(context, "client");
    const begun: number[] = [];
    server.handle(echoCall, async function*({ delayMs }, { signal }) {
        begun.push(delayMs);
        await pause(delayMs, undefined, { signal });
        yield { isDone: true };
    });
    const [host, port] = (await server.listen()).split(":");
    const relay = new TcpRelay({ host: host!, port: Number(port) });
    context.after(() => relay.close());
    const link = client.connect(await relay.listen());
    const echo = (delayMs: number) => collectFrames(link.call(echoCall, { delayMs }));
    await echo(0);
    return { relay, link, echo, begun };
}

test("on a path that stays silent a call ends as unknown, one that was never sent as not run, and later ones work", async context => {
    const { relay, link, echo, begun } = await start(context);
    const inProgress = assert.rejects(echo(LONG_DELAY_MS), { outcome: "unknown" });
    await pause(PROGRESS_MS);
    relay.silence("forward", "backward");
    relay.silenceNew("forward", "backward");
    while (link.state === "open" || link.state === "suspect") {
        await pause(1);
    }
    const unsent = assert.rejects(echo(1), { outcome: "not-run" });
    await Promise.all([inProgress, unsent]);
    relay.silenceNew();
    assert.deepEqual(await echo(2), [{ isDone: true }]);
    assert.deepEqual(begun, [0, LONG_DELAY_MS, 2], "the call that ended as not run never reached its handler");
});
