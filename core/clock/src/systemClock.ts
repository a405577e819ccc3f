import type { Clock } from "./clock.js";
import type { Timer } from "./timer.js";

/** The clock of the operating system, steady against changes of the wall clock. */
export class SystemClock implements Clock {
    nowMs(): number {
        return performance.timeOrigin + performance.now();
    }

    setTimer(delayMs: number, action: () => void): Timer {
        const handle = setTimeout(action, delayMs);
        return { cancel: () => clearTimeout(handle) };
    }
}
