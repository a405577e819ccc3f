import type { Random } from "@knapweedwood/core.random/random";
import type { RetryBudget } from "./retryBudget.js";
import type { RetryDecision } from "./retryDecision.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { RetryState } from "./retryState.js";

interface BudgetedRetryPolicyOptions {
    budget: RetryBudget;
    random: Random;
    maxAttempts?: number;
    /** Upper bound of the first jittered delay, doubled with each attempt, in milliseconds. */
    baseDelayMs?: number;
    maxDelayMs?: number;
    /** Minimum time that must remain before the deadline for another attempt, in milliseconds. */
    minimumAttemptMs?: number;
}

const DEFAULT_MAX_ATTEMPTS = 3;
const DEFAULT_BASE_DELAY_MS = 20;
const DEFAULT_MAX_DELAY_MS = 1000;
const DEFAULT_MINIMUM_ATTEMPT_MS = 5;
const RETRYABLE_STATUS_CODES = [408, 425, 429];

/**
 * Retries calls that provably did not run or that may be repeated. A retry waits for a jittered delay, and is limited
 * by a budget and the deadline of the call.
 */
export class BudgetedRetryPolicy implements RetryPolicy {
    private readonly opts: Required<BudgetedRetryPolicyOptions>;

    constructor(opts: BudgetedRetryPolicyOptions) {
        this.opts = {
            maxAttempts: DEFAULT_MAX_ATTEMPTS,
            baseDelayMs: DEFAULT_BASE_DELAY_MS,
            maxDelayMs: DEFAULT_MAX_DELAY_MS,
            minimumAttemptMs: DEFAULT_MINIMUM_ATTEMPT_MS,
            ...opts,
        };
    }

    decide(state: RetryState): RetryDecision {
        if (state.outcome === "answered") {
            return { kind: "give-up", reason: "answered" };
        }
        if (state.outcome === "unknown" && !state.repeatable) {
            return { kind: "give-up", reason: "not-repeatable" };
        }
        if (isPermanentClientError(state.statusCode)) {
            return { kind: "give-up", reason: "refused" };
        }
        if (state.attempt >= this.opts.maxAttempts) {
            return { kind: "give-up", reason: "attempts" };
        }
        const delayMs = Math.max(this.jitteredDelayMs(state.attempt), state.retryAfterMs ?? 0);
        if (state.nowMs + delayMs + this.opts.minimumAttemptMs > (state.deadlineMs ?? Number.POSITIVE_INFINITY)) {
            return { kind: "give-up", reason: "deadline" };
        }
        return this.opts.budget.trySpend(state.nowMs)
            ? { kind: "retry", delayMs }
            : { kind: "give-up", reason: "budget" };
    }

    private jitteredDelayMs(attempt: number): number {
        const ceilingMs = Math.min(this.opts.maxDelayMs, this.opts.baseDelayMs * 2 ** (attempt - 1));
        return this.opts.random.next() * ceilingMs;
    }
}

function isPermanentClientError(statusCode: number | undefined): boolean {
    return statusCode !== undefined && statusCode >= 400 && statusCode < 500
        && !RETRYABLE_STATUS_CODES.includes(statusCode);
}
