// An upstream that broke off a response without a length reset its connection. The caller received what had arrived until
// then as a complete response.
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

/** Returns what a caller receives from a route whose only upstream sends `sent` and ends the connection. */
async function receive(opts: { sent: string; ending: ConnectionEnding; route: Partial<Route>; }) {
    const server = new EndingServer(opts);
    const upstream = {
        id: "u-1",
        service: "s",
        address: { host: "127.0.0.1", port: await server.listen() },
        zone: "z",
        softwareVersion: "v1",
        slots: 4,
        state: "ready",
        startedAtMs: 1,
    } as Upstream;
    const bed = new GatewayTestBed({ upstreams: [upstream], route: opts.route });
    await bed.listen();
    const response = await bed.send();
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

test("responses and streams without a length whose connection is closed are complete for their callers", async () => {
    for (const kind of ["idempotent", "stream"] as const) {
        for (const isResumable of [false, true]) {
            const response = await receive({ sent: HEAD + EVENT, ending: "close", route: { kind, isResumable } });
            assert.deepEqual([response.isComplete, response.body], [true, EVENT], `${kind}, resumable ${isResumable}`);
        }
    }
});
