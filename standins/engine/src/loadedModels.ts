import type { Clock } from "@knapweedwood/core.clock/clock";
import type { AdapterName } from "@knapweedwood/core.ids/adapterName";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";
import type { EngineOrder } from "@knapweedwood/engines.model-engine/engineOrder";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";
import type { EngineServerOptions } from "./engineServerOptions.js";

const DEFAULT_LOAD_DURATION_MS = 200;

/** The loaded models and adapters of a stand-in engine. Orders change them. */
export class LoadedModels {
    private readonly clock: Clock;
    private readonly opts: EngineServerOptions;
    private readonly engineState: EngineState;
    private highestFencingNumber = 0;

    constructor(opts: EngineServerOptions) {
        this.opts = opts;
        this.clock = opts.clock;
        this.engineState = {
            models: opts.models.map(({ model, version }) => ({
                model: model as ModelName,
                version: version as ModelVersion,
                state: "ready",
            })),
            adapters: [],
            role: "any",
            incarnation: opts.incarnation ?? 1,
        };
    }

    /** Returns the state that the engine reports. Later orders change the same object. */
    state(): EngineState {
        return this.engineState;
    }

    /** Returns the names that requests can use, shape [ready models + ready adapters]. */
    readyNames(): string[] {
        const models = this.engineState.models.filter(({ state }) => state === "ready").map(({ model }) =>
            String(model)
        );
        const adapters = this.engineState.adapters.filter(({ state }) => state === "ready").map(({ adapter }) =>
            String(adapter)
        );
        return [...models, ...adapters];
    }

    /**
     * Executes an order. An engine that ignores orders accepts it without effect.
     *
     * @returns false if the engine checks fencing numbers and the order has a stale one
     */
    accept(order: EngineOrder): boolean {
        if (this.opts.checksFencing && order.fencingNumber < this.highestFencingNumber) {
            return false;
        }
        this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber);
        if (this.opts.ignoresOrders !== true) {
            this.execute(order.action);
        }
        return true;
    }

    private execute(action: EngineOrder["action"]): void {
        switch (action.kind) {
            case "load-model":
                return this.loadModel(action);
            case "unload-model":
                this.engineState.models = this.engineState.models
                    .filter(({ model, version }) => model !== action.model || version !== action.version);
                return;
            case "load-adapter":
                return this.loadAdapter(action);
            case "unload-adapter":
                this.engineState.adapters = this.engineState.adapters.filter(({ adapter }) =>
                    adapter !== action.adapter
                );
                return;
            case "set-role":
                this.engineState.role = action.role;
        }
    }

    private loadModel({ model, version }: { model: ModelName; version: ModelVersion; }): void {
        if (this.engineState.models.some(other => other.model === model && other.version === version)) {
            return;
        }
        const loading: EngineState["models"][number] = { model, version, state: "loading" };
        this.engineState.models.push(loading);
        this.scheduleReady(loading);
    }

    private loadAdapter({ adapter, version }: { adapter: AdapterName; version: ModelVersion; }): void {
        const loading: EngineState["adapters"][number] = { adapter, version, state: "loading" };
        this.engineState.adapters = [...this.engineState.adapters.filter(other => other.adapter !== adapter), loading];
        this.scheduleReady(loading);
    }

    private scheduleReady(loading: { version: ModelVersion; state: "loading" | "ready" | "failed"; }): void {
        const isUnhealthy = this.opts.unhealthyVersions?.includes(loading.version) === true;
        this.clock.setTimer(this.opts.loadDurationMs ?? DEFAULT_LOAD_DURATION_MS, () => {
            loading.state = isUnhealthy ? "failed" : "ready";
        });
    }
}
