// An upstream in trouble sent a status that HTTP doesn't have: callers got 600 and 999 as answers.
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { EndingServer } from "@knapweedwood/standins.http/endingServer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";

const INVALID = ["000", "00", "0", "001", "099", "600", "700", "999", "1000", "-200", "20x"];
const VALID = [200, 204, 299, 404, 500, 599];
const ROUTES: Partial<Route>[] = [
    { kind: "idempotent" },
    { kind: "non-idempotent" },
    { kind: "stream", isResumable: false },
    { kind: "stream", isResumable: true },
];

/** Returns the status that a caller receives from a route whose only upstream sends `status`. */
async function receiveStatus(status: string, route: Partial<Route>): Promise<number> {
    const body = status === "204" ? "" : "id: 1\ndata: a\n\n";
    const sent = `HTTP/1.1 ${status} S\r\nx-proof: p\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
    const server = new EndingServer({ sent, ending: "close" });
    const address = { host: "127.0.0.1", port: await server.listen() };
    const upstream = { id: "u", service: "s", address, zone: "z", softwareVersion: "v1", slots: 4, state: "ready" };
    const bed = new GatewayTestBed({ upstreams: [{ ...upstream, startedAtMs: 1 } as Upstream], route });
    await bed.listen();
    const { statusCode } = await bed.send({ headers: {} });
    bed.close();
    server.close();
    return statusCode;
}

test("no caller gets a status that HTTP doesn't have, and every other one is passed on", async () => {
    for (const route of ROUTES) {
        const ofInvalid = await Promise.all(INVALID.map(status => receiveStatus(status, route)));
        assert.deepEqual(ofInvalid, INVALID.map(() => 502), `${route.kind}, resumable: ${route.isResumable}`);
        const ofValid = await Promise.all(VALID.map(status => receiveStatus(String(status), route)));
        assert.deepEqual(ofValid, VALID, `${route.kind}, resumable: ${route.isResumable}`);
    }
});
