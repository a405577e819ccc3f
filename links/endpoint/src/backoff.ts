import type { Random } from "@knapweedwood/core.random/random";

interface BackoffOptions {
    baseMs: number;
    maxMs: number;
    random: Random;
}

/** Pauses between attempts to connect: doubled each time, with full jitter. */
export class Backoff {
    private readonly opts: BackoffOptions;
    private attempts = 0;

    constructor(opts: BackoffOptions) {
        this.opts = opts;
    }

    reset(): void {
        this.attempts = 0;
    }

    /** The next pause, in milliseconds. The first attempt after a success follows at once. */
    nextMs(): number {
        const ceilingMs = this.attempts === 0
            ? 0
            : Math.min(this.opts.maxMs, this.opts.baseMs * 2 ** (this.attempts - 1));
        this.attempts += 1;
        return ceilingMs / 2 + this.opts.random.next() * ceilingMs / 2;
    }
}
