// An upstream that broke off a response without a length reset its connection. The caller received what had arrived until
// then as a complete response.
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { ConnectionEnding } from "@knapweedwood/standins.http/connectionEnding";
import { EndingServer } from "@knapweedwood/standins.http/endingServer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";

const HEAD = "HTTP/1.1 200 OK\r\nx-proof: p\r\n\r\n";
const EVENT = "id: 1\ndata: a\n\n";
const RESETS: ConnectionEnding[] = ["reset", "late-reset", "close-and-reset"];

interface Case {
    sent: string;
    ending: ConnectionEnding;
    route: Partial<Route>;
    soleVersion?: SoftwareVersion;
    headers?: { [name: string]: string; };
}

async function createUpstream(server: EndingServer, index = 0): Promise<Upstream> {
    return {
        id: `u-${index}`,
        service: "s",
        address: { host: "127.0.0.1", port: await server.listen() },
        zone: "z",
        softwareVersion: "v1",
        slots: 4,
        state: "ready",
        startedAtMs: 1,
    } as Upstream;
}

/** Returns what a caller receives from a route whose only upstream sends `sent` and ends the connection. */
async function receive({ headers = {}, ...opts }: Case) {
    const server = new EndingServer(opts);
    const bed = new GatewayTestBed({ upstreams: [await createUpstream(server)], ...opts });
    await bed.listen();
    const response = await bed.send({ headers });
    bed.close();
    server.close();
    return response;
}

test("a response without a length that its upstream reset isn't complete for its caller", async () => {
    for (const ending of RESETS) {
        const { statusCode } = await receive({ sent: `${HEAD}half of it`, ending, route: { kind: "idempotent" } });
        assert.equal(statusCode, 502, ending);
    }
});

test("a stream without a length that its upstream reset after a whole event isn't complete for its caller", async () => {
    for (const ending of RESETS) {
        for (const isResumable of [false, true]) {
            const route = { kind: "stream" as const, isResumable };
            const { isComplete, body } = await receive({ sent: HEAD + EVENT, ending, route });
            assert.deepEqual([isComplete, body], [false, EVENT], `${ending}, resumable ${isResumable}`);
        }
    }
});

test("a stream that ends inside an event isn't complete for its caller", async () => {
    for (const cut of ["id: 2\ndata: b", "id: 2\ndata: b\n", "id: 2\r\ndata: b\r\n\r"]) {
        for (const isResumable of [false, true]) {
            const route = { kind: "stream" as const, isResumable };
            const { isComplete, body } = await receive({ sent: HEAD + EVENT + cut, ending: "close", route });
            assert.deepEqual([isComplete, body.startsWith(EVENT)], [false, true], `${cut}, resumable ${isResumable}`);
        }
    }
});

// Whether an event is whole was judged in two ways, and only one took CRLF for the end of a line.
test("a stream whose lines end with CRLF is complete for its caller", async () => {
    const events = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    for (const isResumable of [false, true]) {
        const route = { kind: "stream" as const, isResumable };
        const { isComplete, body } = await receive({ sent: HEAD + events, ending: "close", route });
        assert.deepEqual([isComplete, body], [true, events], `resumable ${isResumable}`);
        const { isComplete: isCompleteWithBlankLine } = await receive({
            sent: `${HEAD}${events}\r\n`,
            ending: "close",
            route,
        });
        assert.equal(isCompleteWithBlankLine, true, `a further blank line, resumable ${isResumable}`);
    }
});

test("responses and streams without a length whose connection is closed are complete for their callers", async () => {
    for (const kind of ["idempotent", "stream"] as const) {
        for (const isResumable of [false, true]) {
            const response = await receive({ sent: HEAD + EVENT, ending: "close", route: { kind, isResumable } });
            assert.deepEqual([response.isComplete, response.body], [true, EVENT], `${kind}, resumable ${isResumable}`);
        }
    }
});

test("a resumed stream without a length that its upstream closes before an event isn't complete for its caller", async () => {
    const route = { kind: "stream" as const, isResumable: true };
    const known = { soleVersion: "v1" as SoftwareVersion, headers: { "last-event-id": "1" } };
    const cut = await receive({ sent: HEAD, ending: "close", route, ...known });
    assert.equal(cut.statusCode, 502);
    const sent = "HTTP/1.1 200 OK\r\nx-proof: p\r\ncontent-length: 0\r\n\r\n";
    const complete = await receive({ sent, ending: "close", route, ...known });
    assert.deepEqual([complete.statusCode, complete.isComplete, complete.body], [200, true, ""]);
});

test("a stream that goes on at an upstream that closes before an event isn't complete for its caller", async () => {
    const servers = [`${HEAD}${EVENT}id: 2\nda`, HEAD].map(sent => new EndingServer({ sent, ending: "close" }));
    const upstreams = await Promise.all(servers.map((server, index) => createUpstream(server, index)));
    const route = { kind: "stream" as const, isResumable: true, maxAttempts: 2 };
    const bed = new GatewayTestBed({ upstreams, route });
    bed.loadTracker.count(upstreams[1]!.id, "online", 1);
    await bed.listen();
    const { isComplete, body } = await bed.send();
    assert.deepEqual([isComplete, body, servers.map(({ connectionCount }) => connectionCount)], [false, EVENT, [1, 1]]);
    bed.close();
    servers.forEach(server => server.close());
});

// The length of the first upstream's response was passed on, though the events of the second one may have other sizes.
test("a stream that goes on at another upstream is complete, whatever length the first upstream announced", async () => {
    const announced = `HTTP/1.1 200 OK\r\nx-proof: p\r\ncontent-length: ${2 * EVENT.length}\r\n\r\n`;
    const longEvent = "id: 2\ndata: longer\n\n";
    const servers = [announced + EVENT, HEAD + longEvent].map(sent => new EndingServer({ sent, ending: "close" }));
    const upstreams = await Promise.all(servers.map((server, index) => createUpstream(server, index)));
    const bed = new GatewayTestBed({ upstreams, route: { kind: "stream", isResumable: true, maxAttempts: 2 } });
    bed.loadTracker.count(upstreams[1]!.id, "online", 1);
    await bed.listen();
    const { isComplete, body } = await bed.send();
    assert.deepEqual([isComplete, body], [true, EVENT + longEvent]);
    bed.close();
    servers.forEach(server => server.close());
});

// To a caller with HTTP/1.0 the end of its connection is the end of its response.
test("a caller with HTTP/1.0 whose stream is broken off sees a reset", async () => {
    for (const ending of ["close", "reset"] as const) {
        const server = new EndingServer({ sent: `${HEAD}${EVENT}id: 2`, ending });
        const bed = new GatewayTestBed({ upstreams: [await createUpstream(server)], route: { kind: "stream" } });
        await bed.listen();
        const ended = await bed.sendWithoutChunks();
        assert.deepEqual(ended, { code: "ECONNRESET", hasBody: true }, ending);
        bed.close();
        server.close();
    }
});

test("a caller with HTTP/1.0 whose response is complete sees a close", async () => {
    for (const kind of ["idempotent", "stream"] as const) {
        const server = new EndingServer({ sent: HEAD + EVENT, ending: "close" });
        const bed = new GatewayTestBed({ upstreams: [await createUpstream(server)], route: { kind } });
        await bed.listen();
        assert.deepEqual(await bed.sendWithoutChunks(), { code: undefined, hasBody: true }, kind);
        bed.close();
        server.close();
    }
});

// The head says it; what becomes of the body doesn't matter.
test("a request that an upstream didn't run goes to the next one, also if the response is reset", async () => {
    const servers = ["HTTP/1.1 503 S\r\nx-not-run: 1\r\n\r\nfu", HEAD + EVENT]
        .map((sent, index) => new EndingServer({ sent, ending: index === 0 ? "reset" : "close" }));
    const upstreams = await Promise.all(servers.map((server, index) => createUpstream(server, index)));
    const bed = new GatewayTestBed({ upstreams, route: { kind: "non-idempotent", maxAttempts: 2 } });
    bed.loadTracker.count(upstreams[1]!.id, "online", 1);
    await bed.listen();
    const { statusCode, body } = await bed.send();
    assert.deepEqual([statusCode, body], [200, EVENT]);
    bed.close();
    servers.forEach(server => server.close());
});
