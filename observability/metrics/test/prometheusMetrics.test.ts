import assert from "node:assert/strict";
import { test } from "node:test";
import { PrometheusMetrics } from "../src/prometheusMetrics.js";

test("counters, gauges and durations are rendered", async () => {
    const metrics = new PrometheusMetrics();
    metrics.increment("calls_total", { outcome: "answered" });
    metrics.increment("calls_total", { outcome: "answered" }, 2);
    metrics.gauge("memory_bytes", 5);
    metrics.timing("wait_ms", 70);
    const page = await metrics.render();
    assert.match(page, /knapweed_calls_total\{outcome="answered"\} 3/u);
    assert.match(page, /knapweed_memory_bytes 5/u);
    assert.match(page, /knapweed_wait_ms_bucket\{le="100"\} 1/u);
    assert.match(page, /knapweed_wait_ms_bucket\{le="50"\} 0/u);
});

test("StatsD names with dots and changing tags are accepted", async () => {
    const metrics = new PrometheusMetrics();
    metrics.increment("link.opened", { zone: "a" });
    metrics.increment("link.opened", { zone: "a", other: "b" });
    metrics.increment("link.opened");
    const page = await metrics.render();
    assert.match(page, /knapweed_link_opened\{zone="a"\} 2/u);
    assert.match(page, /knapweed_link_opened 1/u);
});
