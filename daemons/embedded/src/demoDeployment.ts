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
const SERVE_TIMEOUT_MS = 20_000;
const SERVE_CHECK_MS = 100;

/** The embedded deployment of `knapweed dev` and the quickstart, with its services published. */
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

    /** Starts the deployment, publishes the services, and waits until their calls are answered. */
    async start(): Promise<void> {
        await this.deployment.start();
        await this.publish();
        await this.waitUntilServing();
    }

    stop(): Promise<void> {
        return this.deployment.stop();
    }

    private async publish(): Promise<void> {
        const answer = await fetch(`${this.deployment.url()}/admin/v1/configuration/publish`, {
            method: "POST",
            headers: this.headers(),
            body: JSON.stringify({
                files: [{ path: "knapweed.yaml", text: demoServiceFile }],
                message: "demonstration",
            }),
        });
        if (answer.status !== 200) {
            throw new KnapweedError("DEMO_NOT_PUBLISHED", await answer.text());
        }
    }

    private async waitUntilServing(): Promise<void> {
        const clock = new SystemClock();
        const endMs = clock.nowMs() + SERVE_TIMEOUT_MS;
        while (!await this.isServing()) {
            if (clock.nowMs() > endMs) {
                throw new KnapweedError("NOT_READY", "The demonstration's services can't be called");
            }
            await sleep(clock, SERVE_CHECK_MS);
        }
    }

    private async isServing(): Promise<boolean> {
        const urls = Array.from({ length: ENTRY_COUNT }, (_, index) => this.deployment.url(index));
        const answers = await Promise.all(urls.map(url => this.seesAllUpstreams(url)));
        return answers.every(isGood => isGood);
    }

    private async seesAllUpstreams(url: string): Promise<boolean> {
        const answer = await fetch(`${url}/admin/v1/fleet/upstreams`, { headers: this.headers() });
        if (answer.status !== 200) {
            await answer.arrayBuffer();
            return false;
        }
        const { upstreams } = await answer.json() as { upstreams: { isHealthy: boolean; }[]; };
        return upstreams.filter(upstream => upstream.isHealthy).length === ENGINE_COUNT + SERVICE_COUNT;
    }

    private headers(): { [name: string]: string; } {
        return { "authorization": `Bearer ${this.operatorKey}`, "content-type": "application/json" };
    }
}
