import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { collectFrames } from "@knapweedwood/links.calls/collectFrames";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTestEndpoint } from "./createTestEndpoint.js";

const countCall = defineCall<{ count: number; }, { index: number; }>("test.count");

async function* count(request: { count: number; }) {
    yield* Array.from({ length: request.count }, (_, index) => ({ index }));
}

test("a call yields its frames in order, in both directions of a link", async context => {
    const server = createTestEndpoint(context, "server");
    const client = createTestEndpoint(context, "client");
    server.handle(countCall, count);
    client.handle(countCall, count);
    const link = client.connect(await server.listen());
    const frames = await collectFrames(link.call(countCall, { count: 1000 }));
    assert.deepEqual(frames.map(frame => frame.index), Array.from({ length: 1000 }, (_, index) => index));
    const clientFrames = await collectFrames(server.links()[0].call(countCall, { count: 3 }));
    assert.equal(clientFrames.length, 3);
    assert.equal(link.peer?.instanceId, "server");
});

test("an error of a handler arrives with all its fields", async context => {
    const server = createTestEndpoint(context, "server");
    const client = createTestEndpoint(context, "client");
    server.handle(countCall, async function*() {
        yield { index: 0 };
        throw new KnapweedError("BUSY", "Too busy", {
            hint: "later",
            outcome: "not-run",
            statusCode: 503,
            retryAfterMs: 70,
        });
    });
    const link = client.connect(await server.listen());
    await assert.rejects(collectFrames(link.call(countCall, { count: 1 })), {
        code: "ERR_KNAPWEED_BUSY",
        message: "Too busy",
        hint: "later",
        outcome: "not-run",
        statusCode: 503,
        retryAfterMs: 70,
    });
});

test("a call without a handler at the peer is rejected as not run", async context => {
    const server = createTestEndpoint(context, "server");
    const client = createTestEndpoint(context, "client");
    const link = client.connect(await server.listen());
    await assert.rejects(collectFrames(link.call(countCall, { count: 1 })), {
        code: "ERR_KNAPWEED_LINK_UNKNOWN_CALL",
        outcome: "not-run",
    });
});

test("a call over a link that never opens ends as not run", async context => {
    const client = createTestEndpoint(context, "client");
    const closed = createTestEndpoint(context, "closed");
    const address = await closed.listen();
    await closed.close(0);
    await assert.rejects(collectFrames(client.connect(address).call(countCall, { count: 1 })), { outcome: "not-run" });
});

test("the handler is cancelled when the reader stops early", async context => {
    const server = createTestEndpoint(context, "server");
    const client = createTestEndpoint(context, "client");
    const cancelled = new Promise<void>(resolve => {
        server.handle(countCall, async function*(_request, { signal }) {
            yield { index: 0 };
            await new Promise<void>(abort => signal.addEventListener("abort", () => abort()));
            resolve();
        });
    });
    const link = client.connect(await server.listen());
    for await (const _ of link.call(countCall, { count: 1 })) {
        break;
    }
    await cancelled;
});

test("a call that exceeds its deadline ends as unknown once its request has been written", async context => {
    const server = createTestEndpoint(context, "server");
    const client = createTestEndpoint(context, "client");
    server.handle(countCall, async function*(_request, { signal, deadlineMs }) {
        yield { index: deadlineMs === undefined ? 0 : 1 };
        await new Promise<void>(abort => signal.addEventListener("abort", () => abort()));
    });
    const link = client.connect(await server.listen());
    const frames: number[] = [];
    const reading = (async () => {
        for await (const frame of link.call(countCall, { count: 1 }, { timeoutMs: 100 })) {
            frames.push(frame.index);
        }
    })();
    await assert.rejects(reading, { code: "ERR_KNAPWEED_LINK_DEADLINE_EXCEEDED", outcome: "unknown" });
    assert.deepEqual(frames, [1]);
});
