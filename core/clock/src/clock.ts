import type { Timer } from "./timer.js";

/** Source of time and of timers. All times are in milliseconds. */
export interface Clock {
    /** Milliseconds since the Unix epoch. Never goes backwards within a process. */
    nowMs(): number;

    /**
     * Milliseconds since the Unix epoch by the time of day, which counts the time for which the instance was suspended. It
     * may go backwards.
     */
    timeOfDayMs(): number;

    /** Calls `action` once after `delayMs` milliseconds. */
    setTimer(delayMs: number, action: () => void): Timer;
}
