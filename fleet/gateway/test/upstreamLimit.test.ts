// An upstream in need named how many requests a second it takes, and went on getting as many as there were callers.
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

const LIMIT_PER_SECOND = 2;
/** What the platform allows in any 4 s: one and a half times the limit, and five requests. */
const MAX_REQUESTS = 1.5 * LIMIT_PER_SECOND * 4 + 5;
const CALLERS = 40;

test("an upstream that names a limit gets no more requests than that, and its other callers are rejected at once", async context => {
    const upstream = new UpstreamStandin((_request, response) => {
        response.writeHead(200, { "x-proof": "p", "x-limit": String(LIMIT_PER_SECOND) });
        response.end("ok");
    });
    const testBed = new GatewayTestBed({ upstreams: [await upstream.listen("u1")], route: {} });
    await testBed.listen();
    context.after(() => {
        testBed.close();
        upstream.close();
    });
    const first = await testBed.send();
    assert.equal(first.statusCode, 200);
    const startedAtMs = Date.now();
    const responses = await Promise.all(
        Array.from(
            { length: CALLERS },
            (_, index) => testBed.send({ headers: { "x-request-id": `id-${index + 2}`, "x-remaining": "2000" } }),
        ),
    );
    assert.ok(Date.now() - startedAtMs < 4000, "all calls are within one window");
    assert.ok(upstream.requests.length <= MAX_REQUESTS, `${upstream.requests.length} requests`);
    const rejected = responses.filter(({ statusCode }) => statusCode === 503);
    assert.equal(rejected.length, CALLERS + 1 - upstream.requests.length);
    assert.ok(rejected.every(({ headers }) => Number(headers["retry-after"]) > 0));
});
