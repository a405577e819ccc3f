import type { Clock } from "./clock.js";

/** Resolves after `delayMs` milliseconds, or as soon as `signal` is aborted. */
export function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted === true) {
            resolve();
            return;
        }
        const finish = () => {
            timer.cancel();
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = clock.setTimer(delayMs, finish);
        signal?.addEventListener("abort", finish, { once: true });
    });
}
