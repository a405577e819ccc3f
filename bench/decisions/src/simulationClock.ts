import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";

interface PendingTimer {
    dueMs: number;
    /** Timers due at the same time fire in the order in which they were set. */
    order: number;
    action: (() => void) | undefined;
}

/** A clock for simulations. It moves from one timer to the next without waiting. */
export class SimulationClock implements Clock {
    private currentMs = 0;
    private timerCount = 0;
    /** Binary heap with the next due timer at its root. */
    private readonly heap: PendingTimer[] = [];

    nowMs(): number {
        return this.currentMs;
    }

    timeOfDayMs(): number {
        return this.currentMs;
    }

    setTimer(delayMs: number, action: () => void): Timer {
        const timer: PendingTimer = { dueMs: this.currentMs + Math.max(0, delayMs), order: this.timerCount++, action };
        this.push(timer);
        return {
            cancel: () => {
                timer.action = undefined;
            },
        };
    }

    /** Fires all timers due up to `endMs`, then sets the current time to it. */
    runUntil(endMs: number): void {
        for (let next = this.heap[0]; next !== undefined && next.dueMs <= endMs; next = this.heap[0]) {
            this.pop();
            this.currentMs = next.dueMs;
            next.action?.();
        }
        this.currentMs = endMs;
    }

    private push(timer: PendingTimer): void {
        this.heap.push(timer);
        for (let index = this.heap.length - 1; index > 0;) {
            const parent = (index - 1) >> 1;
            if (!this.isBefore(index, parent)) {
                return;
            }
            this.swap(index, parent);
            index = parent;
        }
    }

    private pop(): void {
        const last = this.heap.pop()!;
        if (this.heap.length === 0) {
            return;
        }
        this.heap[0] = last;
        for (let index = 0;;) {
            const children = [2 * index + 1, 2 * index + 2].filter(child => child < this.heap.length);
            const first = children.reduce((best, child) => this.isBefore(child, best) ? child : best, index);
            if (first === index) {
                return;
            }
            this.swap(index, first);
            index = first;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const [one, other] = [this.heap[left]!, this.heap[right]!];
        return one.dueMs < other.dueMs || (one.dueMs === other.dueMs && one.order < other.order);
    }

    private swap(left: number, right: number): void {
        [this.heap[left], this.heap[right]] = [this.heap[right]!, this.heap[left]!];
    }
}
