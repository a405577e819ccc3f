import type { Clock } from "./clock.js";
import type { Timer } from "./timer.js";

/** The system clock. Changes of the wall clock after the start of the process don't affect it. */
export class SystemClock implements Clock {
    nowMs(): number {
        return performance.timeOrigin + performance.now();
    }

    setTimer(delayMs: number, action: () => void): Timer {
        const handle = setTimeout(action, delayMs);
        return { cancel: () => clearTimeout(handle) };
    }
}
