import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { AdapterName } from "@knapweedwood/core.ids/adapterName";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";
import type { ModelEngine } from "@knapweedwood/engines.model-engine/modelEngine";
import type { PlainUpstream } from "./plainUpstream.js";

const CHECK_INTERVAL_MS = 1000;
const FAILURES_UNTIL_UNHEALTHY = 2;

/**
 * Polls the upstream of this side for its health and the models that it can serve. The upstream counts as unhealthy
 * until its first successful check, and again after two consecutive failures.
 */
export class UpstreamMonitor {
    private readonly opts: { engine?: ModelEngine; plainUpstream?: PlainUpstream; clock: Clock; };
    private readonly stopping = new AbortController();
    private running: Promise<void> = Promise.resolve();
    private consecutiveFailures = FAILURES_UNTIL_UNHEALTHY;
    private engineState: EngineState | undefined;

    constructor(opts: UpstreamMonitor["opts"]) {
        this.opts = opts;
    }

    async start(): Promise<void> {
        await this.check();
        this.running = this.run();
    }

    async stop(): Promise<void> {
        this.stopping.abort();
        await this.running;
    }

    get isHealthy(): boolean {
        return this.consecutiveFailures < FAILURES_UNTIL_UNHEALTHY;
    }

    /** Models and adapters that are ready, shape [models]; undefined for a plain service. */
    get readyModels(): ModelName[] | undefined {
        if (this.opts.engine === undefined) {
            return undefined;
        }
        const isReady = (resource: { state: string; }) => resource.state === "ready";
        const models = this.engineState?.models.filter(isReady).map(resource => resource.model) ?? [];
        const adapters = this.engineState?.adapters.filter(isReady).map(resource => toModelName(resource.adapter))
            ?? [];
        return [...models, ...adapters];
    }

    get role(): EngineState["role"] {
        return this.engineState?.role ?? "any";
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await sleep(this.opts.clock, CHECK_INTERVAL_MS, this.stopping.signal);
            await this.check();
        }
    }

    private async check(): Promise<void> {
        const isAlive = await this.probe().catch(() => false);
        this.consecutiveFailures = isAlive ? 0 : this.consecutiveFailures + 1;
    }

    private async probe(): Promise<boolean> {
        if (this.opts.engine !== undefined) {
            this.engineState = await this.opts.engine.state();
            return true;
        }
        return await this.opts.plainUpstream?.isHealthy() ?? false;
    }
}

function toModelName(adapter: AdapterName): ModelName {
    return adapter as string as ModelName;
}
