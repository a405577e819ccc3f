// Guards against requests that are cut without an answer in a planned stop (LOST): late ones were taken, also on connections
// that callers kept, and passed on although they couldn't end in time.
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

const TEST_TIMEOUT_MS = 20_000;
const LEFT_MS = 2000;
const route = { kind: "non-idempotent" } as const;
const SERVED = "served";

/** A gateway before an upstream that answers at once, or not at all where the path contains `silent`. */
async function withGateway(
    action: (testBed: GatewayTestBed, upstream: UpstreamStandin) => Promise<void>,
): Promise<void> {
    const upstream = new UpstreamStandin((request, response) => {
        if (!request.url!.includes("silent")) {
            response.writeHead(200, { "x-proof": "p" });
            response.end(SERVED);
        }
    });
    const testBed = new GatewayTestBed({ upstreams: [await upstream.listen("u-0")], route });
    await testBed.listen();
    try {
        await action(testBed, upstream);
    }
    finally {
        testBed.close();
        upstream.close();
    }
}

function stop(testBed: GatewayTestBed): void {
    testBed.isStopping = true;
    testBed.stopsAtMs = performance.timeOrigin + performance.now() + LEFT_MS;
}

test("a stopping gateway rejects at once what may not end in time, and serves the rest", {
    timeout: TEST_TIMEOUT_MS,
}, () =>
    withGateway(async (testBed, upstream) => {
        stop(testBed);
        const late = await testBed.send({ headers: { "x-remaining": String(LEFT_MS * 2) } });
        assert.deepEqual([late.statusCode, late.isComplete, upstream.requests.length], [503, true, 0]);
        assert.equal(late.headers.connection, "close");
        const short = await testBed.send({ headers: { "x-remaining": String(LEFT_MS / 2) } });
        assert.deepEqual([short.statusCode, short.body, short.headers.connection], [200, SERVED, "close"]);
    }));

test(
    "what is still open at the end of a stop is answered",
    { timeout: TEST_TIMEOUT_MS },
    () =>
        withGateway(async (testBed, upstream) => {
            const running = testBed.send({ path: "/a/silent", headers: { "x-remaining": "60000" } });
            while (upstream.requests.length === 0) {
                await new Promise(setImmediate);
            }
            const partial = connect(testBed.listeningPort, "127.0.0.1");
            partial.write(
                "POST /a/x HTTP/1.1\r\nhost: host.example\r\nx-request-id: id-2\r\ncontent-length: 10\r\n\r\nhalf",
            );
            while (testBed.server.openRequestCount < 2) {
                await new Promise(setImmediate);
            }
            const partialAnswer = new Promise<string>(resolve =>
                partial.once("data", data => resolve(data.toString("latin1")))
            );
            stop(testBed);
            testBed.server.answerOpenRequests();
            const answer = await running;
            assert.deepEqual([answer.statusCode, answer.isComplete, answer.headers.connection], [504, true, "close"]);
            assert.match(await partialAnswer, /^HTTP\/1\.1 503 /u, "a request that wasn't whole has not run");
            partial.destroy();
        }),
);
