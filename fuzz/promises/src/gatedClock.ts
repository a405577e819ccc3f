import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { InstanceGate } from "./instanceGate.js";

/** The clock of an instance: its timers fire late while the instance is paused. */
export class GatedClock implements Clock {
    private readonly opts: { clock: Clock; gate: InstanceGate; };

    constructor(opts: { clock: Clock; gate: InstanceGate; }) {
        this.opts = opts;
    }

    nowMs(): number {
        return this.opts.clock.nowMs();
    }

    setTimer(delayMs: number, action: () => void): Timer {
        let isCancelled = false;
        const timer = this.opts.clock.setTimer(delayMs, () =>
            this.opts.gate.run(() => {
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
