// An upstream that stopped in the middle of the head of a response and closed: callers got a 200 with an empty or short body.
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { ConnectionEnding } from "@knapweedwood/standins.http/connectionEnding";
import { EndingServer } from "@knapweedwood/standins.http/endingServer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";

const HEAD = "HTTP/1.1 200 OK\r\nx-proof: p\r\nconnection: close\r\ncontent-length: 120\r\n\r\n";
const ENDINGS: ConnectionEnding[] = ["close", "reset"];
const ROUTES: Partial<Route>[] = [
    { kind: "idempotent" },
    { kind: "stream", isResumable: false },
    { kind: "stream", isResumable: true },
];

/** Returns the status that a caller receives from a route whose only upstream sends `sent` and ends the connection. */
async function receiveStatus(sent: string, ending: ConnectionEnding, route: Partial<Route>): Promise<number> {
    const server = new EndingServer({ sent, ending });
    const address = { host: "127.0.0.1", port: await server.listen() };
    const upstream = {
        id: "u",
        service: "s",
        address,
        zone: "z",
        softwareVersion: "v1",
        slots: 4,
        state: "ready",
        startedAtMs: 1,
    };
    const bed = new GatewayTestBed({ upstreams: [upstream as Upstream], route });
    await bed.listen();
    const { statusCode } = await bed.send({ headers: {} });
    bed.close();
    server.close();
    return statusCode;
}

test("a caller gets no success for a response whose head was cut off, wherever it was", async () => {
    const heads = Array.from({ length: HEAD.length }, (_, length) => HEAD.slice(0, length));
    for (const route of ROUTES) {
        for (const ending of ENDINGS) {
            const statuses = await Promise.all(heads.map(head => receiveStatus(head, ending, route)));
            assert.deepEqual(statuses.filter(status => status !== 502), [], `${route.kind}, ${ending}`);
        }
    }
});
