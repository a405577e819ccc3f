import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";

/** Rounding of fractional times, in milliseconds. A timer this early counts as due. */
const ROUNDING_MS = 0.01;

/**
 * The clock of one start of a simulated process, and what the process receives from outside. While it is frozen,
 * nothing runs in it; what is due then runs when it wakes. Once it is dead, nothing runs in it any more.
 */
export class ProcessClock implements Clock {
    private readonly clock: Clock;
    private state: "running" | "frozen" | "dead" = "running";
    private frozenAtMs = 0;
    private stoppedMs = 0;
    private stopsWhileFrozen = false;
    private heldBack: (() => void)[] = [];

    constructor(clock: Clock) {
        this.clock = clock;
    }

    get isRunning(): boolean {
        return this.state === "running";
    }

    get isDead(): boolean {
        return this.state === "dead";
    }

    nowMs(): number {
        return this.clock.nowMs() - this.stoppedMs;
    }

    timeOfDayMs(): number {
        return this.clock.timeOfDayMs();
    }

    setTimer(delayMs: number, action: () => void): Timer {
        const dueAtMs = this.nowMs() + delayMs;
        let timer: Timer | undefined;
        let isCancelled = false;
        const onDue = () => {
            if (!isCancelled && this.nowMs() < dueAtMs - ROUNDING_MS) {
                start();
            }
            else if (!isCancelled) {
                action();
            }
        };
        const start = () => {
            timer = this.clock.setTimer(dueAtMs - this.nowMs(), () => this.run(onDue));
        };
        start();
        return {
            cancel: () => {
                isCancelled = true;
                timer?.cancel();
            },
        };
    }

    /** Runs `action` in the process: now, when it wakes, or never. */
    run(action: () => void): void {
        if (this.state === "running") {
            action();
        }
        else if (this.state === "frozen") {
            this.heldBack.push(action);
        }
    }

    /** Resolves once the process runs; never if it is dead. */
    whenRunning(): Promise<void> {
        return new Promise(resolve => this.run(resolve));
    }

    /** Suspends the process. Its clock stops, too, if `stopsClock`; otherwise it shows the elapsed time afterwards. */
    freeze(stopsClock: boolean): void {
        if (this.state === "running") {
            this.state = "frozen";
            this.frozenAtMs = this.clock.nowMs();
            this.stopsWhileFrozen = stopsClock;
        }
    }

    wake(): void {
        if (this.state === "frozen") {
            this.state = "running";
            this.stoppedMs += this.stopsWhileFrozen ? this.clock.nowMs() - this.frozenAtMs : 0;
            this.heldBack.splice(0).forEach(action => this.run(action));
        }
    }

    kill(): void {
        this.state = "dead";
        this.heldBack = [];
    }
}
