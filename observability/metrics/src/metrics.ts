import type { MetricTags } from "./metricTags.js";

/** Records counters, gauges and durations. */
export interface Metrics {
    increment(name: string, tags?: MetricTags, count?: number): void;
    gauge(name: string, value: number, tags?: MetricTags): void;
    /** Records a duration in milliseconds; the name ends in `_ms`. */
    timing(name: string, durationMs: number, tags?: MetricTags): void;
}
