// An upstream may send a body without end. The gateway kept all of it until the deadline of the request, so that few
// such responses exhausted its memory.
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { EndlessServer } from "@knapweedwood/standins.http/endlessServer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

const TEST_TIMEOUT_MS = 60_000;
const KIB = 1024;
const MIB = 1024 * KIB;
const CHUNK = `400\r\n${"x".repeat(KIB)}\r\n`;
const TINY_CHUNKS = "1\r\nx\r\n".repeat(200);
const SOUND_BODY = "id: 1\ndata: sound\n\n";
const headOf = (statusCode: number, rest = "") => `HTTP/1.1 ${statusCode} S\r\nx-proof: p\r\n${rest}\r\n`;
const CHUNKED = "transfer-encoding: chunked\r\n";

/** Sends requests to a gateway whose preferred upstream sends `first` and then `repeated` without end. */
async function withEndless(
    opts: { first: string; repeated: string; route: Partial<Route>; soundBody?: string; },
    action: (testBed: GatewayTestBed, endless: EndlessServer) => Promise<void>,
): Promise<void> {
    const endless = new EndlessServer(opts);
    const sound = new UpstreamStandin((_request, response) => {
        response.writeHead(200, { "x-proof": "p" });
        response.end(opts.soundBody ?? SOUND_BODY);
    });
    const upstream = await sound.listen("u-1");
    const address = { host: "127.0.0.1", port: await endless.listen() };
    const testBed = new GatewayTestBed({
        upstreams: [{ ...upstream, id: "u-0" as Upstream["id"], address }, upstream],
        route: { timeoutMs: TEST_TIMEOUT_MS, ...opts.route },
    });
    testBed.loadTracker.count(upstream.id, "online", 1);
    await testBed.listen();
    try {
        await action(testBed, endless);
        await endless.whenEnded();
        assert.equal(endless.unboundedCount, 0, "a connection was read on for 64 MB");
        assert.equal(testBed.loadTracker.onlineCount("u-0" as Upstream["id"]), 0);
    }
    finally {
        testBed.close();
        sound.close();
        endless.close();
    }
}

/** A response that was broken off before its head was sent. */
const BROKEN_OFF = { isComplete: false, body: "" };
const remaining = { "x-remaining": String(TEST_TIMEOUT_MS) };

test("a body without end is replaced by another upstream's response", { timeout: TEST_TIMEOUT_MS }, async () => {
    const bodies = [
        { first: headOf(200), repeated: "x".repeat(KIB) },
        { first: headOf(200, CHUNKED), repeated: CHUNK },
        { first: headOf(200, CHUNKED), repeated: TINY_CHUNKS },
        { first: headOf(500, CHUNKED), repeated: CHUNK },
        { first: headOf(200, `content-length: ${1024 * MIB}\r\n`), repeated: "x".repeat(KIB) },
    ];
    for (const body of bodies) {
        await withEndless({ ...body, route: { maxAttempts: 2 } }, async (testBed, endless) => {
            const received = await testBed.send({ headers: remaining });
            assert.deepEqual([received.statusCode, received.body], [200, SOUND_BODY]);
            assert.equal(endless.connectionCount, 1);
        });
    }
});

test("a body without end of a request that can't be repeated becomes 502, and the upstream is ejected", {
    timeout: TEST_TIMEOUT_MS,
}, async () => {
    const route = { kind: "non-idempotent" } as const;
    const body = { first: headOf(200, CHUNKED), repeated: CHUNK };
    await withEndless({ ...body, route }, async (testBed, endless) => {
        const first = await testBed.send({ headers: remaining });
        const second = await testBed.send({ headers: remaining });
        assert.deepEqual([first.statusCode, second.statusCode, endless.connectionCount], [502, 502, 2]);
        assert.equal(testBed.health.isUsable("u-0" as Upstream["id"], 0, 0), false);
    });
});

test("the body of a response that says that the request didn't run is bounded as well", {
    timeout: TEST_TIMEOUT_MS,
}, async () => {
    const body = { first: headOf(503, `x-not-run: 1\r\n${CHUNKED}`), repeated: CHUNK };
    await withEndless({ ...body, route: { maxAttempts: 2 } }, async testBed => {
        assert.equal((await testBed.send({ headers: remaining })).body, SOUND_BODY);
    });
});

const EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const endlessEvents = [
    { first: `${headOf(200)}${EVENTS}id: 3\ndata: `, repeated: "x".repeat(KIB) },
    { first: `${headOf(200)}${EVENTS}`, repeated: `: ${"x".repeat(KIB)}\n` },
    { first: `${headOf(200, CHUNKED)}${EVENTS.length.toString(16)}\r\n${EVENTS}\r\n`, repeated: CHUNK },
];

test("a stream goes on at another upstream when an event doesn't end", { timeout: TEST_TIMEOUT_MS }, async () => {
    const route = { kind: "stream", isResumable: true, maxAttempts: 2 } as const;
    const resumed = "id: 3\ndata: c\n\n";
    for (const stream of endlessEvents) {
        await withEndless({ ...stream, route, soundBody: resumed }, async testBed => {
            const received = await testBed.send({ headers: remaining });
            assert.deepEqual([received.body, received.isComplete], [EVENTS + resumed, true]);
        });
    }
});

test("a stream that can't be repeated breaks off when an event doesn't end", { timeout: TEST_TIMEOUT_MS }, async () => {
    for (const stream of endlessEvents) {
        await withEndless({ ...stream, route: { kind: "stream" } }, async testBed => {
            const received = await testBed.send({ headers: remaining });
            assert.deepEqual([received.isComplete, received.body.startsWith(EVENTS)], [false, true]);
        });
    }
});

// Such streams complete an event with each few bytes and so never stalled. They were read until the deadline of the request, and
// few of them took all the time of a gateway.
const emptyEvents = [":\n\n", "\n", "data:\n\n"].flatMap(event => [
    { first: `${headOf(200)}${EVENTS}`, repeated: event.repeat(KIB) },
    { first: `${headOf(200, CHUNKED)}`, repeated: `${event.length.toString(16)}\r\n${event}\r\n`.repeat(200) },
]);

test("a stream of events without content is ended soon, and goes on at another upstream where it may", {
    timeout: TEST_TIMEOUT_MS,
}, async () => {
    for (const stream of emptyEvents) {
        const resumable = { kind: "stream", isResumable: true, maxAttempts: 2 } as const;
        await withEndless({ ...stream, route: resumable }, async testBed => {
            const received = await testBed.send({ headers: remaining });
            assert.deepEqual([received.isComplete, received.body.length < MIB], [true, true]);
        });
        await withEndless({ ...stream, route: { kind: "stream" } }, async testBed => {
            const received = await testBed.send({ headers: remaining }).catch(() => BROKEN_OFF);
            assert.deepEqual([received.isComplete, received.body.length < MIB], [false, true]);
        });
    }
});

test("a stream with far more events than the request allows tokens is broken off", async () => {
    const contents = "id: 1\ndata: a word that is more than nothing\n\n";
    await withEndless({ first: headOf(200), repeated: contents, route: { kind: "stream" } }, async testBed => {
        const headers = { ...remaining, "x-tokens": "100" };
        const received = await testBed.send({ headers }).catch(() => BROKEN_OFF);
        const events = received.body.split("\n\n").length;
        assert.deepEqual([received.isComplete, events < 2000], [false, true], `${events} events`);
    });
});

test("a failure of a stream route whose body doesn't end breaks off", { timeout: TEST_TIMEOUT_MS }, async () => {
    const body = { first: headOf(404, CHUNKED), repeated: CHUNK };
    for (const isResumable of [false, true]) {
        await withEndless({ ...body, route: { kind: "stream", isResumable } }, async testBed => {
            assert.equal((await testBed.send({ headers: remaining })).isComplete, false);
        });
    }
});

test("a stream of many megabytes in small events reaches the caller unchanged", async () => {
    const count = 20_000;
    const events = Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: ${"x".repeat(KIB)}\n\n`).join(
        "",
    );
    for (const isResumable of [false, true]) {
        const standin = new UpstreamStandin((_request, response) => {
            response.writeHead(200, { "x-proof": "p" });
            response.end(events);
        });
        const route = { kind: "stream", isResumable, timeoutMs: TEST_TIMEOUT_MS } as const;
        const testBed = new GatewayTestBed({ upstreams: [await standin.listen("u-0")], route });
        await testBed.listen();
        const received = await testBed.send({ headers: remaining });
        assert.ok(received.isComplete && received.body === events, `${received.body.length} bytes arrived`);
        testBed.close();
        standin.close();
    }
});

test("a complete body of many megabytes reaches the caller unchanged", async () => {
    const large = "0123456789abcdef".repeat(12 * MIB / 16);
    const standin = new UpstreamStandin((_request, response) => {
        response.writeHead(200, { "x-proof": "p" });
        response.end(large);
    });
    const testBed = new GatewayTestBed({ upstreams: [await standin.listen("u-0")], route: {} });
    await testBed.listen();
    const received = await testBed.send();
    assert.equal(received.statusCode, 200);
    assert.ok(received.body === large, `${received.body.length} bytes arrived`);
    testBed.close();
    standin.close();
});
