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
const SOUND_BODY = "id: 1\ndata: sound\n\n";
const headOf = (statusCode: number, rest = "") => `HTTP/1.1 ${statusCode} S\r\nx-proof: p\r\n${rest}\r\n`;
const CHUNKED = "transfer-encoding: chunked\r\n";

/** Sends requests to a gateway whose preferred upstream sends `first` and then `repeated` without end. */
async function withEndless(
    opts: { first: string; repeated: string; route: Partial<Route>; },
    action: (testBed: GatewayTestBed, endless: EndlessServer) => Promise<void>,
): Promise<void> {
    const endless = new EndlessServer(opts);
    const sound = new UpstreamStandin((_request, response) => {
        response.writeHead(200, { "x-proof": "p" });
        response.end(SOUND_BODY);
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

const remaining = { "x-remaining": String(TEST_TIMEOUT_MS) };

test("a body without end is replaced by another upstream's response", { timeout: TEST_TIMEOUT_MS }, async () => {
    const bodies = [
        { first: headOf(200), repeated: "x".repeat(KIB) },
        { first: headOf(200, CHUNKED), repeated: CHUNK },
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
