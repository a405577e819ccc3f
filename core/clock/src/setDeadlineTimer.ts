import type { Clock } from "./clock.js";
import type { Timer } from "./timer.js";

/** Lateness of a timer from which on this process counts as busy, in milliseconds. */
const BUSY_AFTER_MS = 30;

/**
 * Calls `action` once after `delayMs` milliseconds without what was waited for. If the process was too busy to run the
 * timer in time, what was waited for may have arrived unread. Then the time is extended once by as much as the timer was
 * late, at most by `delayMs`, so that it is read first.
 */
export function setDeadlineTimer(clock: Clock, delayMs: number, action: () => void): Timer {
    const dueAtMs = clock.nowMs() + delayMs;
    let timer = clock.setTimer(delayMs, () => {
        const lateMs = clock.nowMs() - dueAtMs;
        if (lateMs < BUSY_AFTER_MS) {
            action();
            return;
        }
        timer = clock.setTimer(Math.min(lateMs, delayMs), action);
    });
    return { cancel: () => timer.cancel() };
}
