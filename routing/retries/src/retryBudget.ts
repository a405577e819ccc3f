interface RetryBudgetOptions {
    /** Number of retries allowed per request, such as 0.1. */
    ratio: number;
    /** Initial and maximum number of unused retries. */
    maxBalance: number;
}

/**
 * Limits the load that retries and hedges add. At any time, the number of retries and hedges allowed so far is at most
 * `ratio` times the number of requests, plus `maxBalance`.
 */
export class RetryBudget {
    private readonly opts: RetryBudgetOptions;
    private balance: number;

    constructor(opts: Partial<RetryBudgetOptions> = {}) {
        this.opts = { ratio: 0.1, maxBalance: 10, ...opts };
        this.balance = this.opts.maxBalance;
    }

    /** Counts a request sent by a caller. Must not be called for retries. */
    onRequest(_nowMs: number): void {
        this.balance = Math.min(this.opts.maxBalance, this.balance + this.opts.ratio);
    }

    /** Takes one retry or hedge from the budget. @returns whether it may be sent */
    trySpend(_nowMs: number): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }
}
