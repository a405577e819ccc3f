import type { MetricTags } from "./metricTags.js";

/** Counts and measurements, sent to StatsD. */
export interface Metrics {
    increment(name: string, tags?: MetricTags, count?: number): void;
    gauge(name: string, value: number, tags?: MetricTags): void;
    /** A duration; the name ends in `_ms`. */
    timing(name: string, durationMs: number, tags?: MetricTags): void;
}
