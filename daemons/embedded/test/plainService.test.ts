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

test("method, path, query, headers and status are forwarded, but not hop-by-hop headers and the key", async () => {
    const response = await call("/receipts?lot=7", { method: "PUT", body: "{}", headers: { "x-desk": "3" } });
    const echo = await response.json() as Echo;
    assert.equal(response.status, 200);
    assert.equal(response.headers.get("x-knapweed-outcome"), "answered");
    assert.equal(echo.method, "PUT");
    assert.equal(echo.path, "/receipts?lot=7");
    assert.equal(echo.headers["x-desk"], "3");
    assert.equal(echo.headers["authorization"], undefined);
});

test("a large body is streamed completely", async () => {
    const response = await call("/receipts", { body: "x".repeat(LARGE_BODY_BYTES) });
    assert.equal(response.status, 200);
    const echo = await response.json() as { body: string; };
    assert.ok(echo.body === "x".repeat(LARGE_BODY_BYTES));
});

test("a repeated idempotency key at another entry returns the recorded response without running the call", async () => {
    const body = JSON.stringify({ lot: 7 });
    const headers = { "idempotency-key": "receipt-7" };
    const first = await (await call("/receipts", { body, headers })).text();
    const runs = countRuns();
    const second = await (await call("/receipts", { body, headers, entry: 1 })).text();
    assert.equal(second, first);
    assert.equal(countRuns(), runs);
});

test("an idempotency key used for a different body is rejected with outcome not-run", async () => {
    const headers = { "idempotency-key": "receipt-8" };
    await call("/receipts", { body: "{}", headers });
    const runs = countRuns();
    const rejected = await call("/receipts", { body: '{"lot":9}', headers });
    assert.equal(rejected.status, 422);
    assert.equal(rejected.headers.get("x-knapweed-outcome"), "not-run");
    assert.equal(countRuns(), runs);
});

function countRuns(): number {
    return demo.deployment.services.flatMap(service => service.callRecords).filter(record => record.method !== "GET")
        .length;
}

const RECEIPT_COUNT = 20;
const POLL_MS = 100;

test("a batch job for a plain service runs each item exactly once", async () => {
    const lines = Array.from({ length: RECEIPT_COUNT }, (_, index) =>
        JSON.stringify({
            custom_id: `receipt-${index}`,
            method: "POST",
            url: "/services/ledger/batch-receipts",
            body: { lot: index },
        }));
    const form = new FormData();
    form.set("purpose", "batch");
    form.set("file", new Blob([lines.join("\n")]), "receipts.jsonl");
    const file = await api("POST", "/v1/files", form) as { id: string; };
    const job = { input_file_id: file.id, endpoint: "/services/ledger/batch-receipts" };
    const created = await api("POST", "/v1/batches", JSON.stringify(job)) as Batch;
    let batch = created;
    while (!["completed", "failed"].includes(batch.status)) {
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
        batch = await api("GET", `/v1/batches/${created.id}`) as Batch;
    }
    assert.deepEqual(batch.request_counts, { total: RECEIPT_COUNT, completed: RECEIPT_COUNT, failed: 0 });
    const digests = demo.deployment.services
        .flatMap(service => service.callRecords)
        .filter(record => record.path.endsWith("/batch-receipts"))
        .map(record => record.bodyDigest);
    assert.equal(digests.length, RECEIPT_COUNT);
    assert.equal(new Set(digests).size, RECEIPT_COUNT);
});

interface Batch {
    id: string;
    status: string;
    request_counts: { total: number; completed: number; failed: number; };
}

async function api(method: string, path: string, body?: string | FormData): Promise<unknown> {
    const response = await fetch(`${demo.deployment.url()}${path}`, {
        method,
        headers: { authorization: `Bearer ${KEY}` },
        body,
    });
    return response.json();
}
