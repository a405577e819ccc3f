// Callers that read slowly or not at all: what a gateway holds for them is bounded, and its upstreams don't wait for them.
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

const EVENT_BYTES = 2000;
const EVENTS = 100;
const MAX_CHECKS = 2000;

function streamOf(events: number): string {
    return Array.from({ length: events }, (_, index) => `id: ${index + 1}\ndata: ${"x".repeat(EVENT_BYTES)}\n\n`).join(
        "",
    );
}

/** Sends a request on a connection that doesn't read until it is resumed. */
function openUnread(port: number): Socket {
    const socket = connect({ port, host: "127.0.0.1" });
    socket.pause();
    socket.write("POST /a/x HTTP/1.1\r\nhost: host.example\r\nx-request-id: id-1\r\ncontent-length: 0\r\n\r\n");
    return socket;
}

async function until(isTrue: () => boolean): Promise<void> {
    for (let checks = 0; checks < MAX_CHECKS && !isTrue(); checks += 1) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    assert.ok(isTrue());
}

// The system's buffers take this stream; stalledReader.test.ts checks when an upstream has to wait.
test("a caller that reads nothing at first receives the whole stream later", async () => {
    let isSent = false;
    const upstream = new UpstreamStandin((_request, response) => {
        response.writeHead(200, { "content-type": "text/event-stream", "x-proof": "p" });
        response.end(streamOf(EVENTS), () => {
            isSent = true;
        });
    });
    const testBed = new GatewayTestBed({
        upstreams: [await upstream.listen("u1")],
        route: { kind: "stream", isResumable: true, timeoutMs: 5000 },
    });
    await testBed.listen();
    const socket = openUnread(testBed.listeningPort);
    await until(() => isSent && testBed.loadTracker.onlineCount("u1" as never) === 0);
    let received = "";
    socket.on("data", (chunk: Buffer) => {
        received += chunk.toString("latin1");
    });
    socket.resume();
    await until(() => received.includes(`id: ${EVENTS}\n`));
    socket.destroy();
    await until(() => testBed.memory.heldBytes === 0);
    testBed.close();
    upstream.close();
});

test("a body for which the process has no room is rejected as not run, and later ones are served", async () => {
    const upstream = new UpstreamStandin((_request, response) => {
        response.writeHead(200, { "x-proof": "p" });
        response.end("ok");
    });
    const testBed = new GatewayTestBed({ upstreams: [await upstream.listen("u1")], route: {}, memoryBytes: 20_000 });
    await testBed.listen();
    const rejected = await testBed.send({ body: "b".repeat(50_000) });
    assert.equal(rejected.statusCode, 503);
    assert.ok(Number(rejected.headers["retry-after"]) > 0);
    assert.equal(upstream.requests.length, 0);
    const served = await testBed.send({ body: "small" });
    assert.equal(served.statusCode, 200);
    await until(() => testBed.memory.heldBytes === 0);
    testBed.close();
    upstream.close();
});
