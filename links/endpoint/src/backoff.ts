import type { Random } from "@knapweedwood/core.random/random";

interface BackoffOptions {
    baseMs: number;
    maxMs: number;
    random: Random;
}

/** Calculates the delays between connection attempts. The delay doubles each time; its upper half is random. */
export class Backoff {
    private readonly opts: BackoffOptions;
    private attempts = 0;

    constructor(opts: BackoffOptions) {
        this.opts = opts;
    }

    /** Resets the delay after a successful attempt. */
    reset(): void {
        this.attempts = 0;
    }

    /** Returns the next delay, in milliseconds. The first attempt after a success has no delay. */
    nextMs(): number {
        const ceilingMs = this.attempts === 0
            ? 0
            : Math.min(this.opts.maxMs, this.opts.baseMs * 2 ** (this.attempts - 1));
        this.attempts += 1;
        return ceilingMs / 2 + this.opts.random.next() * ceilingMs / 2;
    }
}
