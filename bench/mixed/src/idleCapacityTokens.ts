import type { EngineTotals } from "@knapweedwood/standins.engine/engineTotals";
import type { StepModel } from "@knapweedwood/standins.engine/stepModel";

/**
 * Computes an upper bound of the batch tokens that the capacity left idle by online work could yield. The engine runs
 * without a pause, and each step is as full as its slots and the objective allow. All capacity that online work doesn't
 * need goes to batch items whose shared prefix is cached. Bursts and arrival times cause no loss.
 */
export function idleCapacityTokens(opts: {
    stepModel: StepModel;
    objectiveMs: number;
    durationMs: number;
    /** Totals of online work alone in that time. */
    online: Pick<EngineTotals, "decodeTokens" | "prefillTokens">;
    batchItem: { prefillTokens: number; outputTokens: number; };
}): number {
    const { stepModel, durationMs, online, batchItem } = opts;
    const prefillPerTokenMs = stepModel.perPrefillTokenMs * batchItem.prefillTokens / batchItem.outputTokens;
    const batchTokenMs = stepModel.perSequenceMs + prefillPerTokenMs;
    const onlineMs = stepModel.perSequenceMs * online.decodeTokens + stepModel.perPrefillTokenMs * online.prefillTokens;
    const batchTokensFor = (steps: number) => (durationMs - onlineMs - steps * stepModel.fixedMs) / batchTokenMs;
    const fewestSteps = durationMs / opts.objectiveMs;
    const slotSteps = (durationMs - onlineMs + online.decodeTokens * batchTokenMs)
        / (stepModel.fixedMs + stepModel.maxSequences * batchTokenMs);
    return Math.max(0, batchTokensFor(Math.max(fewestSteps, slotSteps)));
}
