// An address that no connection can use ended the process that sent a request there.
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ExchangeFailure } from "../src/exchangeFailure.js";
import { UpstreamConnections } from "../src/upstreamConnections.js";

test("a request to an address that can't be used fails as not sent", async () => {
    const connections = new UpstreamConnections();
    const upstream = { id: "u", startedAtMs: 1, address: { host: "999.1.1.1", port: 80 } } as unknown as Upstream;
    const request = { method: "GET", path: "/", headers: [], body: undefined, requestId: "r" };
    const failure = await new Promise<ExchangeFailure>((resolve, reject) => {
        connections.send(upstream, request, { onHead: reject, onData: reject, onEnd: reject, onFailure: resolve });
    });
    assert.deepEqual([failure.mayHaveRun, failure.isUnreachable], [false, true]);
    connections.close();
});
