import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";

/** Shortest time between two checks, in milliseconds. Each one that fails doubles it, to spare an overloaded service. */
const MIN_INTERVAL_MS = 150;
const MAX_INTERVAL_MS = 4800;

interface CheckScheduleOptions {
    clock: Clock;
    /** Returns the age of a mirror at which it is checked, in milliseconds. */
    maxAgeMs: () => number;
    /** Returns how long this process waits beyond that age for a verification by others, in milliseconds. */
    delayMs: () => number;
    /** Returns the age of the mirror, in milliseconds. */
    ageMs: () => number;
    /** Checks the mirror. Resolves to false if the check failed. */
    check: () => Promise<boolean>;
}

/** Checks a mirror when nothing has verified it for a while. A verification in the meantime postpones the check. */
export class CheckSchedule {
    private readonly opts: CheckScheduleOptions;
    private timer: Timer | undefined;
    private isStopped = false;
    private failures = 0;

    constructor(opts: CheckScheduleOptions) {
        this.opts = opts;
    }

    /** Checks the mirror whenever it is due, until `stop` is called. */
    start(): void {
        this.schedule();
    }

    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    private schedule(): void {
        if (!this.isStopped) {
            const intervalMs = Math.min(MAX_INTERVAL_MS, MIN_INTERVAL_MS * 2 ** this.failures);
            const delayMs = Math.max(intervalMs, this.dueInMs());
            this.timer = this.opts.clock.setTimer(delayMs, () => void this.checkIfDue());
        }
    }

    private async checkIfDue(): Promise<void> {
        if (this.dueInMs() <= 0) {
            const hasSucceeded = await this.opts.check();
            this.failures = hasSucceeded ? 0 : this.failures + 1;
        }
        this.schedule();
    }

    private dueInMs(): number {
        return this.opts.maxAgeMs() + this.opts.delayMs() - this.opts.ageMs();
    }
}
