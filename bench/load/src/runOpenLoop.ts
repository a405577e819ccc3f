import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";

/**
 * Starts each call at its arrival time, whether or not earlier calls have ended. Resolves when all calls have ended.
 * Callers measure latency from `dueMs`, so that it includes a late start.
 */
export async function runOpenLoop(opts: {
    clock: Clock;
    /** Arrival times in milliseconds from the start, ascending, shape [arrivals]. */
    arrivals: number[];
    /** Runs one call. Must handle its own errors. */
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
