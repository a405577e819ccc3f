import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";

/**
 * Starts each call at its moment, whether or not earlier ones have ended, and resolves when all have ended. Latency is
 * to be measured from `dueMs`, so that a late start counts.
 */
export async function runOpenLoop(opts: {
    clock: Clock;
    /** Moments in milliseconds from the start, in order, shape [arrivals]. */
    arrivals: number[];
    /** Handles its own failures. */
    call: (index: number, dueMs: number) => Promise<void>;
}): Promise<void> {
    const startMs = opts.clock.nowMs();
    const running: Promise<void>[] = [];
    for (const [index, atMs] of opts.arrivals.entries()) {
        const dueMs = startMs + atMs;
        const waitMs = dueMs - opts.clock.nowMs();
        if (waitMs > 0) {
            await sleep(opts.clock, waitMs);
        }
        running.push(opts.call(index, dueMs));
    }
    await Promise.all(running);
}
