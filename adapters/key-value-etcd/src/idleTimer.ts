import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";

/** Aborts `signal` unless it is restarted or stopped in time. */
export class IdleTimer {
    /** Number of times that the timer was started. */
    startCount = 0;
    private readonly clock: Clock;
    private readonly controller = new AbortController();
    private timer: Timer | undefined;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    get hasExpired(): boolean {
        return this.controller.signal.aborted;
    }

    restart(durationMs: number): void {
        this.startCount += 1;
        this.timer?.cancel();
        this.timer = this.clock.setTimer(durationMs, () => this.controller.abort());
    }

    stop(): void {
        this.timer?.cancel();
    }
}
