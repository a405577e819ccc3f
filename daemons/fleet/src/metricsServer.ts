import type { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import type { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import type { UpstreamRequestLimiter } from "@knapweedwood/fleet.upstream-limits/upstreamRequestLimiter";
import type { PrometheusMetrics } from "@knapweedwood/observability.metrics/prometheusMetrics";
import { createServer, type Server } from "node:http";
import type { EventLoopMonitor } from "./eventLoopMonitor.js";

/** Port and path must match the deployment file. */
const PORT = 9464;
const PATH = "/metrics";

/** Serves the metrics of this process over HTTP in the text format 0.0.4. */
export class MetricsServer {
    private readonly metrics: PrometheusMetrics;
    private readonly host: string;
    private readonly server: Server;
    private readonly eventLoop: EventLoopMonitor;
    private readonly speeds: UpstreamSpeeds;
    private readonly limits: UpstreamRequestLimiter;
    private readonly mirrors: () => PrefixMirror[];

    /** @param opts.mirrors returns the mirrors of keys in the key-value service, shape [mirrors] */
    constructor(
        opts: {
            metrics: PrometheusMetrics;
            host: string;
            eventLoop: EventLoopMonitor;
            speeds: UpstreamSpeeds;
            limits: UpstreamRequestLimiter;
            mirrors: () => PrefixMirror[];
        },
    ) {
        this.metrics = opts.metrics;
        this.eventLoop = opts.eventLoop;
        this.speeds = opts.speeds;
        this.limits = opts.limits;
        this.mirrors = opts.mirrors;
        this.host = opts.host;
        this.server = createServer((request, response) => {
            if (request.url !== PATH) {
                response.writeHead(404).end();
                return;
            }
            void this.render().then(page => {
                response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
                response.end(page);
            });
        });
    }

    /** Starts to serve metrics. Rejects if the port can't be opened. */
    async listen(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(PORT, this.host, resolve);
        });
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private render(): Promise<string> {
        this.metrics.gauge("memory_bytes", process.memoryUsage().rss);
        this.metrics.gauge("event_loop_delay_max_ms", this.eventLoop.takeMaxDelayMs());
        this.updateSpeeds();
        this.updateLimits();
        this.updateMirrors();
        return this.metrics.render();
    }

    /** Sets the learned speeds of the present upstreams only, so that replaced ones don't accumulate. */
    private updateSpeeds(): void {
        ["upstream_speed", "upstream_speed_age_ms"].forEach(name => this.metrics.resetGauge(name));
        this.speeds.ids().forEach(id => {
            this.metrics.gauge("upstream_speed", this.speeds.slownessOf(id), { upstream: id });
            this.metrics.gauge("upstream_speed_age_ms", this.speeds.ageMs(id) ?? 0, { upstream: id });
        });
    }

    /** Sets the ages of the mirrors that this process has now. Before the first listing there is none. */
    private updateMirrors(): void {
        this.metrics.resetGauge("mirror_age_ms");
        this.mirrors()
            .filter(({ isListed }) => isListed)
            .forEach(({ prefix, ageMs }) => this.metrics.gauge("mirror_age_ms", ageMs, { prefix }));
    }

    /** Sets the limits that are in force now. */
    private updateLimits(): void {
        this.metrics.resetGauge("upstream_limit_per_second");
        this.limits.limitsInForce().forEach(({ upstreamId, requestsPerSecond }) =>
            this.metrics.gauge("upstream_limit_per_second", requestsPerSecond, { upstream: upstreamId })
        );
    }
}
