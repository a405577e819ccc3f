import { StatsD } from "hot-shots";
import type { Metrics } from "./metrics.js";
import type { MetricTags } from "./metricTags.js";

const MAX_BUFFER_SIZE_BYTES = 1400;

/** Sends metrics to a StatsD server over UDP. */
export class StatsdMetrics implements Metrics {
    private readonly client: StatsD;

    constructor(opts: { host: string; port: number; tags?: MetricTags; }) {
        this.client = new StatsD({
            host: opts.host,
            port: opts.port,
            prefix: "knapweed.",
            globalTags: opts.tags,
            maxBufferSize: MAX_BUFFER_SIZE_BYTES,
            errorHandler: () => undefined,
        });
    }

    increment(name: string, tags: MetricTags = {}, count = 1): void {
        this.client.increment(name, count, tags);
    }

    gauge(name: string, value: number, tags: MetricTags = {}): void {
        this.client.gauge(name, value, tags);
    }

    timing(name: string, durationMs: number, tags: MetricTags = {}): void {
        this.client.timing(name, durationMs, tags);
    }

    close(): void {
        this.client.close();
    }
}
