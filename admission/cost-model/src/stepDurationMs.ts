import type { StepCosts } from "./stepCosts.js";

/** Returns the predicted duration of a step, in milliseconds. */
export function stepDurationMs(costs: StepCosts, load: { sequences: number; prefillTokens: number; }): number {
    return costs.fixedMs + costs.perSequenceMs * load.sequences + costs.perPrefillTokenMs * load.prefillTokens;
}
