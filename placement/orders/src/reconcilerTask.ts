import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";
import type { ModelEngine } from "@knapweedwood/engines.model-engine/modelEngine";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { exchangePlanCall } from "@knapweedwood/placement.planner/exchangePlanCall";
import { EngineReconciler } from "./engineReconciler.js";

const RECHECK_INTERVAL_MS = 1_000;

/** Receives plans at a side and keeps its engine reconciled with the newest one. */
export class ReconcilerTask {
    private readonly engine: Pick<ModelEngine, "state" | "order">;
    private readonly clock: Clock;
    private readonly reconciler: EngineReconciler;
    private readonly stopped = new AbortController();
    private running: Promise<void> = Promise.resolve();

    constructor(opts: { engine: Pick<ModelEngine, "state" | "order">; clock: Clock; endpoint: LinkEndpoint; }) {
        this.engine = opts.engine;
        this.clock = opts.clock;
        this.reconciler = new EngineReconciler(opts);
        const task = this as ReconcilerTask;
        opts.endpoint.handle(exchangePlanCall, async function*(request) {
            const { upstream, ...numbers } = request;
            if (upstream !== undefined) {
                task.reconciler.receive({ ...numbers, upstream }, task.clock.nowMs());
            }
            const engine = await task.engineState();
            yield engine === undefined ? {} : { engine };
        });
    }

    /** Starts reconciling the engine with its plan, once per interval. */
    start(): void {
        this.running = this.run();
    }

    /** Stops the task. Resolves after the order in progress has ended. */
    async stop(): Promise<void> {
        this.stopped.abort();
        await this.running;
    }

    private async run(): Promise<void> {
        while (!this.stopped.signal.aborted) {
            this.reconciler.recheck();
            while (!this.stopped.signal.aborted && await this.reconciler.step()) {
                // Each step is one comparison, one check of the plan's validity or one order.
            }
            await sleep(this.clock, RECHECK_INTERVAL_MS, this.stopped.signal);
        }
    }

    private async engineState(): Promise<EngineState | undefined> {
        try {
            return await this.engine.state();
        }
        catch {
            return undefined;
        }
    }
}
