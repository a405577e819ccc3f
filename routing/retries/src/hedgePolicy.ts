import { DurationQuantile } from "./durationQuantile.js";
import type { RetryBudget } from "./retryBudget.js";

interface HedgePolicyOptions {
    /** Budget shared with retries. */
    budget: RetryBudget;
    /** Share of attempts that receive a response before a hedge is sent, in (0, 1). */
    quantile?: number;
    /** Minimum delay before a hedge, in milliseconds. */
    minimumDelayMs?: number;
}

interface HedgeState {
    repeatable: boolean;
    deadlineMs?: number | undefined;
    nowMs: number;
}

const DEFAULT_QUANTILE = 0.95;
const DEFAULT_MINIMUM_DELAY_MS = 10;

/** Decides when to send a second attempt of a repeatable call whose first attempt takes longer than most. */
export class HedgePolicy {
    private readonly budget: RetryBudget;
    private readonly minimumDelayMs: number;
    private readonly durations: DurationQuantile;

    constructor(opts: HedgePolicyOptions) {
        this.budget = opts.budget;
        this.minimumDelayMs = opts.minimumDelayMs ?? DEFAULT_MINIMUM_DELAY_MS;
        this.durations = new DurationQuantile(opts.quantile ?? DEFAULT_QUANTILE);
    }

    /** Records the time to the first byte of an attempt, in milliseconds. */
    observe(durationMs: number): void {
        this.durations.observe(durationMs);
    }

    /**
     * Returns the delay before hedging an attempt that starts now, in milliseconds. Returns undefined if the call isn't
     * repeatable, too few durations are recorded, or too little time would remain before the deadline.
     */
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

    /** Takes one hedge from the budget, when the delay has passed. @returns whether it may be sent */
    tryHedge(nowMs: number): boolean {
        return this.budget.trySpend(nowMs);
    }
}
