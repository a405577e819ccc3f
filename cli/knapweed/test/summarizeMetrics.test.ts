import { PrometheusMetrics } from "@knapweedwood/observability.metrics/prometheusMetrics";
import assert from "node:assert/strict";
import { test } from "node:test";
import { summarizeMetrics } from "../src/summarizeMetrics.js";

test("values are summed over labels, and absent metrics are zero", async () => {
    const metrics = new PrometheusMetrics();
    metrics.increment("calls_total", { kind: "stream", outcome: "call-answered" }, 3);
    metrics.increment("calls_total", { kind: "idempotent", outcome: "call-answered" }, 4);
    metrics.increment("calls_total", { kind: "stream", outcome: "call-refused" });
    metrics.increment("key_value_calls_total", { method: "GET", outcome: "lost" }, 2);
    metrics.gauge("memory_bytes", 5e7);
    assert.deepEqual(summarizeMetrics(await metrics.render()), {
        answered: 7,
        refused: 1,
        failed: 0,
        storeCallsLost: 2,
        memoryBytes: 5e7,
        loopDelayMs: 0,
    });
});
