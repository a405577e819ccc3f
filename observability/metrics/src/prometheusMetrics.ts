import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Metrics } from "./metrics.js";
import type { MetricTags } from "./metricTags.js";

const PREFIX = "knapweed_";
const INVALID_NAME_CHARACTERS = /[^a-zA-Z0-9_]/gu;
/** Upper bounds of the histogram buckets for durations, in milliseconds. */
const DURATION_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 1000, 2000, 5000, 10_000];

/**
 * Metrics for a Prometheus endpoint. A metric keeps the tag names of the first call that records it. Other tags of
 * later calls are dropped.
 */
export class PrometheusMetrics implements Metrics {
    private readonly registry = new Registry();
    private readonly tagNames = new Map<string, string[]>();
    private readonly counters = new Map<string, Counter>();
    private readonly gauges = new Map<string, Gauge>();
    private readonly histograms = new Map<string, Histogram>();

    increment(name: string, tags: MetricTags = {}, count = 1): void {
        const counter = this.counters.get(name) ?? new Counter(this.define(name, tags));
        this.counters.set(name, counter);
        counter.inc(this.registeredTags(name, tags), count);
    }

    gauge(name: string, value: number, tags: MetricTags = {}): void {
        const gauge = this.gauges.get(name) ?? new Gauge(this.define(name, tags));
        this.gauges.set(name, gauge);
        gauge.set(this.registeredTags(name, tags), value);
    }

    /** Removes the values of a gauge for all tags. */
    resetGauge(name: string): void {
        this.gauges.get(name)?.reset();
    }

    timing(name: string, durationMs: number, tags: MetricTags = {}): void {
        const histogram = this.histograms.get(name)
            ?? new Histogram({ ...this.define(name, tags), buckets: DURATION_BUCKETS_MS });
        this.histograms.set(name, histogram);
        histogram.observe(this.registeredTags(name, tags), durationMs);
    }

    /** Returns all metrics in the Prometheus text format. */
    render(): Promise<string> {
        return this.registry.metrics();
    }

    private define(name: string, tags: MetricTags) {
        const labelNames = Object.keys(tags);
        this.tagNames.set(name, labelNames);
        // The text format doesn't allow dots, which separate words in StatsD names.
        const exportedName = `${PREFIX}${name.replaceAll(INVALID_NAME_CHARACTERS, "_")}`;
        return { name: exportedName, help: exportedName.replaceAll("_", " "), labelNames, registers: [this.registry] };
    }

    /** Drops the tags that the metric was not registered with, because prom-client rejects them. */
    private registeredTags(name: string, tags: MetricTags): MetricTags {
        const registered = this.tagNames.get(name) ?? [];
        return Object.fromEntries(Object.entries(tags).filter(([tag]) => registered.includes(tag)));
    }
}
