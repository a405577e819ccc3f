interface RetryBudgetOptions {
    /** Retries allowed per request, such as 0.1. */
    ratio: number;
    /** Retries that may be saved up, and that a new budget starts with. */
    maxSaved: number;
}

/**
 * Bounds the load that retries and hedges add: at any time at most `ratio` times the requests so far and `maxSaved`
 * more have been allowed.
 */
export class RetryBudget {
    private readonly opts: RetryBudgetOptions;
    private saved: number;

    constructor(opts: Partial<RetryBudgetOptions> = {}) {
        this.opts = { ratio: 0.1, maxSaved: 10, ...opts };
        this.saved = this.opts.maxSaved;
    }

    /** Counts a request that a caller has sent, not a retry. */
    onRequest(_nowMs: number): void {
        this.saved = Math.min(this.opts.maxSaved, this.saved + this.opts.ratio);
    }

    /** Takes one retry from the budget. @returns whether it may be sent */
    tryRetry(_nowMs: number): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }
}
