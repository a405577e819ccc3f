import { BatchOffPolicy } from "@knapweedwood/admission.gate/batchOffPolicy";
import { FirstComeFirstServedPolicy } from "@knapweedwood/admission.gate/firstComeFirstServedPolicy";
import { OnlineFirstPolicy } from "@knapweedwood/admission.gate/onlineFirstPolicy";
import type { StepModel } from "@knapweedwood/standins.engine/stepModel";
import type { ArmName } from "./armName.js";
import { batchItemMeans } from "./batchItemMeans.js";
import { createWorkload } from "./createWorkload.js";
import { idleCapacityTokens } from "./idleCapacityTokens.js";
import type { MixedSimulation } from "./mixedSimulation.js";
import { simulateArm } from "./simulateArm.js";
import { workloadRates } from "./workloadRates.js";

const MODEL = "bench";

/**
 * Runs arms of the experiment in simulated time, which takes seconds instead of minutes. The same seed gives the same
 * result. Arm a always runs, because the bound is computed from it.
 */
export async function simulateMixed(opts: {
    seed: number;
    durationMs: number;
    engines: number;
    stepModel: StepModel;
    tokenGapObjectiveMs: number;
    batchBalance: number;
    arms: ArmName[];
}): Promise<MixedSimulation> {
    const arrivals = createWorkload({ ...workloadRates, ...opts, textSeed: opts.seed, model: MODEL });
    const objective = { tokenGapObjectiveMs: opts.tokenGapObjectiveMs, batchBalance: opts.batchBalance };
    const common = { ...opts, arrivals, objective, batchOnlyEngines: 0 };
    const online = await simulateArm({ ...common, createPolicy: () => new BatchOffPolicy(), withBatch: false });
    const arms: MixedSimulation["arms"] = { a: online };
    if (opts.arms.includes("b")) {
        arms.b = await simulateArm({
            ...common,
            createPolicy: () => new FirstComeFirstServedPolicy(),
            withBatch: true,
        });
    }
    if (opts.arms.includes("c")) {
        const batchOnlyEngines = Math.ceil(opts.engines / 2);
        const createPolicy = () => new FirstComeFirstServedPolicy();
        arms.c = await simulateArm({ ...common, createPolicy, withBatch: true, batchOnlyEngines });
    }
    if (opts.arms.includes("d")) {
        arms.d = await simulateArm({ ...common, createPolicy: () => new OnlineFirstPolicy(), withBatch: true });
    }
    const boundTokens = idleCapacityTokens({
        stepModel: opts.stepModel,
        objectiveMs: opts.tokenGapObjectiveMs,
        durationMs: opts.durationMs * opts.engines,
        online: online.totals,
        batchItem: batchItemMeans(),
    });
    return { arms, boundTokens };
}
