// The bound on bytes that are no data must not close a connection whose response is long, or is read slowly.
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { Exchange } from "../src/exchange.js";
import { UpstreamConnections } from "../src/upstreamConnections.js";

const MIB = 1024 * 1024;
const READ_PAUSE_MS = 1;

/** Resolves with the size of the body of a response that the reader pauses after each part. */
async function receivedBytes(respond: (socket: Socket) => void): Promise<number> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => respond(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
    const connections = new UpstreamConnections();
    const request = { method: "GET", path: "/", headers: ["host", "h"], body: undefined, requestId: "r" };
    let size = 0;
    let pausedAtBytes = 0;
    await new Promise<void>((resolve, reject) => {
        const exchange: Exchange = connections.send({ id: "u", startedAtMs: 1, address } as Upstream, request, {
            onHead: () => undefined,
            onData: chunk => {
                size += chunk.length;
                if (size - pausedAtBytes > MIB) {
                    pausedAtBytes = size;
                    exchange.pause();
                    setTimeout(() => exchange.resume(), READ_PAUSE_MS);
                }
            },
            onEnd: () => resolve(),
            onFailure: failure => reject(new Error(failure.code)),
        });
    });
    connections.close();
    server.close();
    return size;
}

test("a response of many bytes passes, with a length or in the smallest chunks, also to a slow reader", async () => {
    const whole = await receivedBytes(socket => {
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${32 * MIB}\r\n\r\n`);
        socket.write(Buffer.alloc(32 * MIB, "a"));
    });
    assert.equal(whole, 32 * MIB);
    const inChunks = await receivedBytes(socket => {
        socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        socket.write(`${"1\r\na\r\n".repeat(2 * MIB)}0\r\n\r\n`);
    });
    assert.equal(inChunks, 2 * MIB);
});

test("a connection carries any number of responses", async () => {
    const server = createServer(socket =>
        socket.on(
            "data",
            () => socket.write(`HTTP/1.1 200 OK\r\nx-fill: ${"f".repeat(8000)}\r\ncontent-length: 0\r\n\r\n`),
        )
    );
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
    let connectionCount = 0;
    server.on("connection", () => {
        connectionCount += 1;
    });
    const connections = new UpstreamConnections();
    const request = { method: "GET", path: "/", headers: ["host", "h"], body: undefined };
    let sent = 0;
    const sendOne = () =>
        new Promise<void>((resolve, reject) =>
            connections.send(
                { id: "u", startedAtMs: 1, address } as Upstream,
                { ...request, requestId: `r${sent++}` },
                {
                    onHead: () => undefined,
                    onData: () => undefined,
                    onEnd: () => resolve(),
                    onFailure: failure => reject(new Error(failure.code)),
                },
            )
        );
    for (let count = 0; count < 100; count += 1) {
        await sendOne();
    }
    assert.equal(connectionCount, 1);
    connections.close();
    server.close();
});
