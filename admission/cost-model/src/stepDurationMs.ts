import type { StepCosts } from "./stepCosts.js";

/** The predicted duration of a step. */
export function stepDurationMs(costs: StepCosts, load: { sequences: number; prefillTokens: number; }): number {
    return costs.fixedMs + costs.perSequenceMs * load.sequences + costs.perPrefillTokenMs * load.prefillTokens;
}
