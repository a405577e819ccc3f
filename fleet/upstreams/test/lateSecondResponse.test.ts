// An upstream that sends a second copy of a response, late, when its connection is in use again. The next caller got it.
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { UpstreamConnections } from "../src/upstreamConnections.js";

/** Responds to each request on a connection with the next of `responses`. */
async function serve(responses: (requestNumber: number) => string): Promise<Server> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        let requests = 0;
        socket.on("error", () => undefined);
        socket.on("data", () => {
            requests += 1;
            socket.write(responses(requests));
        });
    });
    server.on("close", () => sockets.forEach(socket => socket.destroy()));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return server;
}

function responseWith(body: string, requestId?: string): string {
    const header = requestId === undefined ? "" : `x-request-id: ${requestId}\r\n`;
    return `HTTP/1.1 200 OK\r\n${header}content-length: ${body.length}\r\n\r\n${body}`;
}

async function send(connections: UpstreamConnections, server: Server, requestId: string): Promise<string> {
    const address = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
    const upstream = { id: "u", startedAtMs: 1, address } as Upstream;
    const request = { method: "GET", path: "/", headers: [], body: undefined, requestId };
    let body = "";
    return new Promise(resolve => {
        connections.send(upstream, request, {
            onHead: () => undefined,
            onData: chunk => {
                body += chunk.toString("utf8");
            },
            onEnd: () => resolve(body),
            onFailure: ({ code }) => resolve(code),
        });
    });
}

test("a second copy without an id isn't the response to the next request of an upstream that echoes ids", async () => {
    const server = await serve(number => number === 1 ? responseWith("first", "a") : responseWith("copy"));
    const connections = new UpstreamConnections();
    assert.equal(await send(connections, server, "a"), "first");
    assert.equal(await send(connections, server, "b"), "ANSWER_OF_ANOTHER_REQUEST");
    connections.close();
    server.close();
});

test("a second copy with the id of an earlier request isn't the response to the next one", async () => {
    const server = await serve(() => responseWith("first", "a"));
    const connections = new UpstreamConnections();
    assert.equal(await send(connections, server, "a"), "first");
    assert.equal(await send(connections, server, "b"), "ANSWER_OF_ANOTHER_REQUEST");
    connections.close();
    server.close();
});

test("a request that is sent again doesn't get the second copy of its first response", async () => {
    const server = await serve(number => responseWith(number === 1 ? "own" : "copy", "a"));
    const connections = new UpstreamConnections();
    assert.equal(await send(connections, server, "a"), "own");
    assert.equal(await send(connections, server, "a"), "own");
    connections.close();
    server.close();
});

test("an upstream that echoes no ids is served on one connection", async () => {
    const server = await serve(number => responseWith(String(number)));
    const connections = new UpstreamConnections();
    assert.equal(await send(connections, server, "a"), "1");
    assert.equal(await send(connections, server, "b"), "2");
    connections.close();
    server.close();
});
