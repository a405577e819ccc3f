import { DurationQuantile } from "./durationQuantile.js";
import type { RetryBudget } from "./retryBudget.js";

interface HedgePolicyOptions {
    /** The budget that retries use too. */
    budget: RetryBudget;
    /** Share of attempts that are answered before a hedge is sent, in (0, 1). */
    quantile?: number;
    /** Shortest wait before a hedge, in milliseconds. */
    minimumDelayMs?: number;
}

interface HedgeState {
    repeatable: boolean;
    deadlineMs?: number | undefined;
    nowMs: number;
}

const DEFAULT_QUANTILE = 0.95;
const DEFAULT_MINIMUM_DELAY_MS = 10;

/** Sends a second attempt of a call that may be repeated when the first takes longer than most. */
export class HedgePolicy {
    private readonly budget: RetryBudget;
    private readonly minimumDelayMs: number;
    private readonly durations: DurationQuantile;

    constructor(opts: HedgePolicyOptions) {
        this.budget = opts.budget;
        this.minimumDelayMs = opts.minimumDelayMs ?? DEFAULT_MINIMUM_DELAY_MS;
        this.durations = new DurationQuantile(opts.quantile ?? DEFAULT_QUANTILE);
    }

    /** Takes in the time to the first byte of an attempt. */
    observe(durationMs: number): void {
        this.durations.observe(durationMs);
    }

    /** When to hedge an attempt that starts now, in milliseconds; undefined for never. */
    hedgeAfterMs(state: HedgeState): number | undefined {
        const quantileMs = this.durations.valueMs;
        if (!state.repeatable || quantileMs === undefined) {
            return undefined;
        }
        const delayMs = Math.max(this.minimumDelayMs, quantileMs);
        return state.nowMs + delayMs + quantileMs / 2 > (state.deadlineMs ?? Number.POSITIVE_INFINITY)
            ? undefined
            : delayMs;
    }

    /** Takes the hedge from the budget when its time has come. @returns whether it may be sent */
    tryHedge(nowMs: number): boolean {
        return this.budget.trySpend(nowMs);
    }
}
