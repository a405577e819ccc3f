// A prompt that crashes upstreams is recognized by the connections that break while it runs. A connection that this
// process closes, because it received something else than a response, is none of them.
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { UpstreamConnections } from "../src/upstreamConnections.js";

const CLOSE_AFTER_MS = 20;

/** Returns whether an exchange counts as broken by the upstream, which sends `sent` and then calls `close`. */
async function isBroken(sent: string, close: (socket: Socket) => void): Promise<boolean> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(sent);
            setTimeout(() => close(socket), CLOSE_AFTER_MS);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
    const connections = new UpstreamConnections();
    const request = { method: "GET", path: "/", headers: ["host", "h"], body: undefined, requestId: "r" };
    const result = await new Promise<boolean>((resolve, reject) =>
        connections.send({ id: "u", startedAtMs: 1, address } as Upstream, request, {
            onHead: () => undefined,
            onData: () => undefined,
            onEnd: () => reject(new Error("complete")),
            onFailure: ({ isConnectionBroken }) => resolve(isConnectionBroken),
        })
    );
    connections.close();
    server.close();
    return result;
}

test("a connection that the upstream closes or resets within a response is broken", async () => {
    const parts = [
        "",
        "HTTP/1.1 200 OK\r\nx-head",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf",
    ];
    for (const part of parts) {
        assert.equal(await isBroken(part, socket => socket.end()), true, `closed after ${part}`);
        assert.equal(await isBroken(part, socket => socket.resetAndDestroy()), true, `reset after ${part}`);
    }
});

test("a connection on which something else than a response arrives is not broken, however it ends", async () => {
    assert.equal(await isBroken("no response", socket => socket.end()), false);
    assert.equal(await isBroken("no response", socket => socket.resetAndDestroy()), false);
});
