import type { Clock } from "./clock.js";
import type { Timer } from "./timer.js";

interface PendingTimer {
    dueMs: number;
    action: () => void;
}

/** A clock for tests and simulations whose time changes only through `advance`. */
export class ManualClock implements Clock {
    private currentMs: number;
    private pending: PendingTimer[] = [];

    constructor(startMs = 0) {
        this.currentMs = startMs;
    }

    nowMs(): number {
        return this.currentMs;
    }

    timeOfDayMs(): number {
        return this.currentMs;
    }

    setTimer(delayMs: number, action: () => void): Timer {
        const timer: PendingTimer = { dueMs: this.currentMs + Math.max(0, delayMs), action };
        this.pending.push(timer);
        return {
            cancel: () => {
                this.pending = this.pending.filter(other => other !== timer);
            },
        };
    }

    /** Advances the time by `durationMs`, fires due timers in order, and lets promises settle after each. */
    async advance(durationMs: number): Promise<void> {
        const endMs = this.currentMs + durationMs;
        await settlePromises();
        for (let next = this.removeNextDue(endMs); next !== undefined; next = this.removeNextDue(endMs)) {
            this.currentMs = Math.max(this.currentMs, next.dueMs);
            next.action();
            await settlePromises();
        }
        this.currentMs = endMs;
    }

    private removeNextDue(endMs: number): PendingTimer | undefined {
        const next = this.pending
            .filter(timer => timer.dueMs <= endMs)
            .reduce<PendingTimer | undefined>(
                (first, timer) => first === undefined || timer.dueMs < first.dueMs ? timer : first,
                undefined,
            );
        this.pending = this.pending.filter(timer => timer !== next);
        return next;
    }
}

function settlePromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
