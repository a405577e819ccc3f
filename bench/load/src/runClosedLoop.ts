import type { Clock } from "@knapweedwood/core.clock/clock";

/**
 * Keeps `concurrency` calls in progress for `durationMs`, then waits for the last ones.
 *
 * @returns how many calls ended within `durationMs`
 */
export async function runClosedLoop(opts: {
    clock: Clock;
    concurrency: number;
    durationMs: number;
    call: () => Promise<void>;
}): Promise<number> {
    const endMs = opts.clock.nowMs() + opts.durationMs;
    let completed = 0;
    const runCaller = async (): Promise<void> => {
        while (opts.clock.nowMs() < endMs) {
            await opts.call();
            completed += opts.clock.nowMs() < endMs ? 1 : 0;
        }
    };
    await Promise.all(Array.from({ length: opts.concurrency }, runCaller));
    return completed;
}
