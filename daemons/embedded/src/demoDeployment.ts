import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import type { Tracer } from "@knapweedwood/observability.traces/tracer";
import { demoServiceFile } from "./demoServiceFile.js";
import { EmbeddedDeployment } from "./embeddedDeployment.js";

const ENTRY_COUNT = 2;
const ENGINE_COUNT = 3;
const SERVICE_COUNT = 1;
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_INTERVAL_MS = 100;

/** The embedded deployment of `knapweed dev` and the quickstart, with the demo services published. */
export class DemoDeployment {
    readonly deployment: EmbeddedDeployment;
    private readonly operatorKey: string;

    constructor(opts: { port: number; seed: number; operatorKey: string; logger: Logger; tracer: Tracer; }) {
        this.operatorKey = opts.operatorKey;
        this.deployment = new EmbeddedDeployment({
            entryCount: ENTRY_COUNT,
            engineCount: ENGINE_COUNT,
            serviceCount: SERVICE_COUNT,
            engineService: "tasting-notes",
            plainService: "ledger",
            engine: { models: [{ model: "demo-chat", version: "1" }], checksFencing: true },
            metrics: silentMetrics,
            ...opts,
        });
    }

    /**
     * Starts the deployment, publishes the services, and waits until every entry reports all upstreams as healthy.
     * Throws `DEMO_NOT_PUBLISHED` if the services can't be published, or `NOT_READY` after 20 seconds.
     */
    async start(): Promise<void> {
        await this.deployment.start();
        await this.publish();
        await this.waitUntilReady();
    }

    stop(): Promise<void> {
        return this.deployment.stop();
    }

    private async publish(): Promise<void> {
        const response = await fetch(`${this.deployment.url()}/admin/v1/configuration/publish`, {
            method: "POST",
            headers: this.headers(),
            body: JSON.stringify({
                files: [{ path: "knapweed.yaml", text: demoServiceFile }],
                message: "demonstration",
            }),
        });
        if (response.status !== 200) {
            throw new KnapweedError("DEMO_NOT_PUBLISHED", await response.text());
        }
    }

    private async waitUntilReady(): Promise<void> {
        const clock = new SystemClock();
        const endMs = clock.nowMs() + READY_TIMEOUT_MS;
        while (!await this.isReady()) {
            if (clock.nowMs() > endMs) {
                throw new KnapweedError(
                    "NOT_READY",
                    "The upstreams of the demo services did not become healthy in time",
                );
            }
            await sleep(clock, READY_POLL_INTERVAL_MS);
        }
    }

    private async isReady(): Promise<boolean> {
        const urls = Array.from({ length: ENTRY_COUNT }, (_, index) => this.deployment.url(index));
        const results = await Promise.all(urls.map(url => this.hasAllUpstreams(url)));
        return results.every(isReady => isReady);
    }

    private async hasAllUpstreams(url: string): Promise<boolean> {
        const response = await fetch(`${url}/admin/v1/fleet/upstreams`, { headers: this.headers() });
        if (response.status !== 200) {
            await response.arrayBuffer();
            return false;
        }
        const { upstreams } = await response.json() as { upstreams: { isHealthy: boolean; }[]; };
        return upstreams.filter(upstream => upstream.isHealthy).length === ENGINE_COUNT + SERVICE_COUNT;
    }

    private headers(): { [name: string]: string; } {
        return { "authorization": `Bearer ${this.operatorKey}`, "content-type": "application/json" };
    }
}
