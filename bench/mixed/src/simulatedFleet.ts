import type { AdmissionPolicy } from "@knapweedwood/admission.gate/admissionPolicy";
import { Gate } from "@knapweedwood/admission.gate/gate";
import type { GateObjective } from "@knapweedwood/admission.gate/gateObjective";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import type { EngineTotals } from "@knapweedwood/standins.engine/engineTotals";
import { InMemoryEngine } from "@knapweedwood/standins.engine/inMemoryEngine";
import type { StepModel } from "@knapweedwood/standins.engine/stepModel";
import { EndlessBatchSource } from "./endlessBatchSource.js";
import type { OnlineArrival } from "./onlineArrival.js";
import { sumTotals } from "./sumTotals.js";

/** Number of waiting prompt tokens that count as one more call when the least loaded gate is chosen. */
const PREFILL_TOKENS_PER_CALL = 64;

/** Simulates engines with their gates in one process, on a manual clock. */
export class SimulatedFleet {
    readonly clock = new ManualClock();
    private readonly engines: InMemoryEngine[];
    private readonly gates: Gate[];
    private readonly onlineGates: Gate[];

    constructor(opts: {
        seed: number;
        engines: number;
        stepModel: StepModel;
        objective: GateObjective;
        createPolicy: () => AdmissionPolicy;
        withBatch: boolean;
        /** Number of engines, the last ones, that serve only batch work; where 0, all engines serve both kinds. */
        batchOnlyEngines: number;
    }) {
        const { clock } = this;
        const batchSource = new EndlessBatchSource({ clock, seed: opts.seed, model: "bench" });
        const firstBatchEngine = opts.batchOnlyEngines === 0 ? 0 : opts.engines - opts.batchOnlyEngines;
        this.engines = Array.from(
            { length: opts.engines },
            () => new InMemoryEngine({ clock, stepModel: opts.stepModel }),
        );
        this.gates = this.engines.map((engine, index) =>
            new Gate({
                engine,
                clock,
                logger: silentLogger,
                metrics: silentMetrics,
                policy: opts.createPolicy(),
                objective: opts.objective,
                batchSource: opts.withBatch && index >= firstBatchEngine ? batchSource : undefined,
            })
        );
        this.onlineGates = this.gates.slice(0, opts.engines - opts.batchOnlyEngines);
        this.gates.forEach(gate => gate.start());
    }

    /** Runs a call on the least loaded gate. Returns the arrival times of its tokens, shape [tokens]. */
    async call(arrival: OnlineArrival): Promise<number[]> {
        const gate = this.onlineGates.reduce((best, other) => loadOf(other) < loadOf(best) ? other : best);
        const tokenTimesMs: number[] = [];
        for await (const event of gate.runOnline(arrival.request, { signal: new AbortController().signal })) {
            if (event.kind === "chunk") {
                tokenTimesMs.push(this.clock.nowMs());
            }
        }
        return tokenTimesMs;
    }

    /** Returns the summed totals of all engines so far. */
    totals(): EngineTotals {
        return sumTotals(this.engines.map(engine => ({ ...engine.core.totals })));
    }
}

function loadOf(gate: Gate): number {
    const load = gate.load();
    return load.onlineRunning + load.onlineQueued + load.onlinePrefillTokens / PREFILL_TOKENS_PER_CALL;
}
