import type { Clock } from "./clock.js";
import type { Timer } from "./timer.js";

/** The system clock. Changes of the wall clock after the start of the process affect the time of day only. */
export class SystemClock implements Clock {
    nowMs(): number {
        return performance.timeOrigin + performance.now();
    }

    timeOfDayMs(): number {
        return Date.now();
    }

    setTimer(delayMs: number, action: () => void): Timer {
        const handle = setTimeout(action, delayMs);
        return { cancel: () => clearTimeout(handle) };
    }
}
