import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { InstanceLifecycle } from "./instanceLifecycle.js";

/** The clock of a simulated instance. Timers that are due during a pause fire at its end. */
export class PausableClock implements Clock {
    private readonly opts: { clock: Clock; lifecycle: InstanceLifecycle; };

    constructor(opts: { clock: Clock; lifecycle: InstanceLifecycle; }) {
        this.opts = opts;
    }

    nowMs(): number {
        return this.opts.clock.nowMs();
    }

    timeOfDayMs(): number {
        return this.opts.clock.timeOfDayMs();
    }

    /** Sets a timer, which never fires once the instance is dead. */
    setTimer(delayMs: number, action: () => void): Timer {
        let isCancelled = false;
        const timer = this.opts.clock.setTimer(delayMs, () =>
            this.opts.lifecycle.run(() => {
                if (!isCancelled) {
                    action();
                }
            }));
        return {
            cancel: () => {
                isCancelled = true;
                timer.cancel();
            },
        };
    }
}
