interface RetryBudgetOptions {
    /** Retries allowed per request, such as 0.1. */
    ratio: number;
    /** Retries that may be saved up, and that a new budget starts with. */
    maxBalance: number;
}

/**
 * Bounds the load that retries and hedges add: at any time at most `ratio` times the requests so far and `maxSaved`
 * more have been allowed.
 */
export class RetryBudget {
    private readonly opts: RetryBudgetOptions;
    private balance: number;

    constructor(opts: Partial<RetryBudgetOptions> = {}) {
        this.opts = { ratio: 0.1, maxBalance: 10, ...opts };
        this.balance = this.opts.maxBalance;
    }

    /** Counts a request that a caller has sent, not a retry. */
    onRequest(_nowMs: number): void {
        this.balance = Math.min(this.opts.maxBalance, this.balance + this.opts.ratio);
    }

    /** Takes one retry from the budget. @returns whether it may be sent */
    trySpend(_nowMs: number): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }
}
