// A call with two Host headers was refused by the HTTP client, counted as a failure of the upstream, and tried again at all
// upstreams until its time was up, so that a few such calls took the upstreams away from all callers.
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

const CALLS = 5;

async function start(context: TestContext, statusCode: number) {
    const standin = new UpstreamStandin((_request, response) => {
        response.writeHead(statusCode, { "x-proof": "p" });
        response.end("body");
    });
    const upstream = await standin.listen("u");
    const bed = new GatewayTestBed({ upstreams: [upstream], route: { kind: "idempotent", maxAttempts: 3 } });
    await bed.listen();
    context.after(() => {
        bed.close();
        standin.close();
    });
    const isUsable = () => bed.health.isUsable(upstream.id, performance.now(), 0);
    return { bed, standin, isUsable };
}

/** Sends a request with these header lines and resolves to the status of its response. */
function statusOf(bed: GatewayTestBed, lines: string[]): Promise<number> {
    return new Promise((resolve, reject) => {
        const socket = connect(bed.listeningPort, "127.0.0.1");
        socket.on("data", (chunk: Buffer) => {
            resolve(Number(chunk.toString("latin1").split(" ", 2)[1]));
            socket.destroy();
        });
        socket.on("error", reject);
        socket.write(Buffer.from(["POST /a/x HTTP/1.1", ...lines, "content-length: 0", "", ""].join("\r\n"), "latin1"));
    });
}

test("a call that the HTTP client refuses to send gets its final answer at once, and says nothing of the upstream", async context => {
    const { bed, standin, isUsable } = await start(context, 200);
    const host = "host: host.example";
    for (let call = 0; call < CALLS; call += 1) {
        assert.equal(await statusOf(bed, [host, host, `x-request-id: ${call}`]), 400);
    }
    assert.deepEqual([standin.requests.length, isUsable()], [0, true]);
    assert.equal(await statusOf(bed, [host, "x-request-id: sound"]), 200);
    assert.equal(standin.connectionCount, 1, "its connection is kept");
});

test("a call whose id has characters outside ASCII is answered", async context => {
    const { bed, isUsable } = await start(context, 200);
    for (let call = 0; call < CALLS; call += 1) {
        assert.equal(await statusOf(bed, ["host: host.example", `x-request-id: é${call}`]), 200);
    }
    assert.equal(isUsable(), true);
});

test("a call that demands a version which the upstream doesn't have doesn't take it for a replaced one", async context => {
    const { bed, isUsable } = await start(context, 421);
    assert.equal(await statusOf(bed, ["host: host.example", "x-request-id: 1", "x-version: 9"]), 503);
    assert.equal(isUsable(), true);
    assert.equal(await statusOf(bed, ["host: host.example", "x-request-id: 2"]), 503);
    assert.equal(isUsable(), false);
});
