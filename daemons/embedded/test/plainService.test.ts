import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentTracer } from "@knapweedwood/observability.traces/silentTracer";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { DemoDeployment } from "../src/demoDeployment.js";

const KEY = "test-key";
const LARGE_BODY_BYTES = 1024 * 1024;
const demo = new DemoDeployment({ port: 0, seed: 1, operatorKey: KEY, logger: silentLogger, tracer: silentTracer });

before(() => demo.start());
after(() => demo.stop());

function call(
    path: string,
    init: { method?: string; body?: string; headers?: { [name: string]: string; }; entry?: number; } = {},
): Promise<Response> {
    return fetch(`${demo.deployment.url(init.entry ?? 0)}/services/ledger${path}`, {
        method: init.method ?? "POST",
        headers: { authorization: `Bearer ${KEY}`, ...init.headers },
        body: init.body,
    });
}

interface Echo {
    method: string;
    path: string;
    headers: { [name: string]: string; };
}

test("method, path, query, headers and status pass through, hop-by-hop headers and the key don't", async () => {
    const answer = await call("/receipts?lot=7", { method: "PUT", body: "{}", headers: { "x-desk": "3" } });
    const echo = await answer.json() as Echo;
    assert.equal(answer.status, 200);
    assert.equal(answer.headers.get("x-knapweed-outcome"), "answered");
    assert.equal(echo.method, "PUT");
    assert.equal(echo.path, "/receipts?lot=7");
    assert.equal(echo.headers["x-desk"], "3");
    assert.equal(echo.headers["authorization"], undefined);
});

test("a large body is streamed whole", async () => {
    const answer = await call("/receipts", { body: "x".repeat(LARGE_BODY_BYTES) });
    assert.equal(answer.status, 200);
    const echo = await answer.json() as { body: string; };
    assert.ok(echo.body === "x".repeat(LARGE_BODY_BYTES));
});

test("a resend under the same idempotency key, to another entry, gets the recorded answer and runs nothing", async () => {
    const body = JSON.stringify({ lot: 7 });
    const headers = { "idempotency-key": "receipt-7" };
    const first = await (await call("/receipts", { body, headers })).text();
    const runs = countRuns();
    const second = await (await call("/receipts", { body, headers, entry: 1 })).text();
    assert.equal(second, first);
    assert.equal(countRuns(), runs);
});

test("an idempotency key that came with another body is refused as not run", async () => {
    const headers = { "idempotency-key": "receipt-8" };
    await call("/receipts", { body: "{}", headers });
    const runs = countRuns();
    const refused = await call("/receipts", { body: '{"lot":9}', headers });
    assert.equal(refused.status, 422);
    assert.equal(refused.headers.get("x-knapweed-outcome"), "not-run");
    assert.equal(countRuns(), runs);
});

function countRuns(): number {
    return demo.deployment.services.flatMap(service => service.record).filter(record => record.method !== "GET").length;
}
