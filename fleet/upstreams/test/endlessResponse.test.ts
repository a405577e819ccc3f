// An upstream may send bytes that are no answer, also without end. The HTTP client notices some of them and closes the
// connection. This looked like a crash of the upstream, for which the prompts that it ran were suspected.
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { EndlessServer } from "@knapweedwood/standins.http/endlessServer";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ExchangeFailure } from "../src/exchangeFailure.js";
import { UpstreamConnections } from "../src/upstreamConnections.js";

const TEST_TIMEOUT_MS = 30_000;
const KIB = 1024;

/** Resolves with the failure of an exchange with an upstream that sends `first` and then `repeated` without end. */
async function failureOf(first: string, repeated: string): Promise<ExchangeFailure & { unboundedCount: number; }> {
    const server = new EndlessServer({ first, repeated });
    const address = { host: "127.0.0.1", port: await server.listen() };
    const connections = new UpstreamConnections();
    const request = { method: "GET", path: "/", headers: ["host", "h"], body: undefined, requestId: "r" };
    const failure = await new Promise<ExchangeFailure>((resolve, reject) => {
        connections.send({ id: "u", startedAtMs: 1, address } as Upstream, request, {
            onHead: () => undefined,
            onData: () => undefined,
            onEnd: () => reject(new Error("complete")),
            onFailure: resolve,
        });
    });
    await server.whenEnded();
    connections.close();
    server.close();
    return { ...failure, unboundedCount: server.unboundedCount };
}

async function assertClosed(first: string, repeated: string): Promise<void> {
    const { mayHaveRun, isUnreachable, isConnectionBroken, unboundedCount } = await failureOf(first, repeated);
    assert.deepEqual({ mayHaveRun, isUnreachable, isConnectionBroken, unboundedCount }, {
        mayHaveRun: true,
        isUnreachable: false,
        isConnectionBroken: false,
        unboundedCount: 0,
    });
}

test("bytes that aren't HTTP close the connection and are no crash", { timeout: TEST_TIMEOUT_MS }, async () => {
    await assertClosed("", "\u0000\u0001garbage".repeat(KIB));
    await assertClosed("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "no chunk".repeat(KIB));
});

test("headers without end close the connection and are no crash", { timeout: TEST_TIMEOUT_MS }, async () => {
    await assertClosed("HTTP/1.1 200 OK\r\n", "x-header: value\r\n".repeat(KIB));
    await assertClosed("HTTP/1.1 200 OK\r\nx-long: ", "v".repeat(KIB));
    await assertClosed("HTTP/1.1 200 OK\r\n", "n".repeat(KIB));
});

test("trailers without end close the connection and are no crash", { timeout: TEST_TIMEOUT_MS }, async () => {
    const head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
    await assertClosed(head, "x-trailer: value\r\n".repeat(KIB));
});

test("interim responses that ask for more close the connection and are no crash", {
    timeout: TEST_TIMEOUT_MS,
}, async () => {
    await assertClosed("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(KIB));
});

// The HTTP client limits header names and values only. It skipped these bytes without end and without telling anyone, so
// that the exchange kept its slot until the deadline of its request.
test("bytes between the parts of a response that don't end close the connection", {
    timeout: TEST_TIMEOUT_MS,
}, async () => {
    const chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    await assertClosed("", "\r\n".repeat(KIB));
    await assertClosed("HTTP/1.1 200 ", "reason ".repeat(KIB));
    await assertClosed("HTTP/1.1 200 OK\r\nx-blank:", " ".repeat(KIB));
    await assertClosed("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".repeat(KIB));
    await assertClosed(`${chunked}1;x=`, "extension".repeat(KIB));
    await assertClosed(chunked, "0".repeat(KIB));
});

test("bytes without end after a complete response close the connection and change nothing about the response", {
    timeout: TEST_TIMEOUT_MS,
}, async () => {
    for (const repeated of ["\r\n", "garbage", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"]) {
        const server = new EndlessServer({
            first: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
            repeated: repeated.repeat(KIB),
        });
        const address = { host: "127.0.0.1", port: await server.listen() };
        const connections = new UpstreamConnections();
        const request = { method: "GET", path: "/", headers: ["host", "h"], body: undefined, requestId: "r" };
        const chunks: Buffer[] = [];
        await new Promise<void>((resolve, reject) => {
            connections.send({ id: "u", startedAtMs: 1, address } as Upstream, request, {
                onHead: () => undefined,
                onData: chunk => chunks.push(chunk),
                onEnd: () => resolve(),
                onFailure: failure => reject(new Error(failure.code)),
            });
        });
        await server.whenEnded();
        assert.deepEqual([Buffer.concat(chunks).toString(), server.unboundedCount], ["whole", 0]);
        connections.close();
        server.close();
    }
});
