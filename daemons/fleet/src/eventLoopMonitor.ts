import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Logger } from "@knapweedwood/observability.logs/logger";

/** Delay of a timer from which on a warning is logged, in milliseconds. Links count silence of about this length. */
const WARNING_DELAY_MS = 250;
/** Minimum time between two warnings, in milliseconds. */
const WARNING_INTERVAL_MS = 2000;

interface EventLoopMonitorOptions {
    clock: Clock;
    logger: Logger;
    /** Returns the processor time that this process has used, in milliseconds. */
    processorMs: () => number;
}

/** Reports how late a periodic timer runs. A process with too little processor time is late with all of its work. */
export class EventLoopMonitor {
    private readonly opts: EventLoopMonitorOptions;
    private warnedAtMs = -Infinity;
    private processorMsAtWarning = 0;
    private maxDelayMs = 0;
    private maxDelaySinceTakenMs = 0;

    constructor(opts: EventLoopMonitorOptions) {
        this.opts = opts;
    }

    /** Records a timer that was due at `dueAtMs` and runs now. */
    record(dueAtMs: number): void {
        const nowMs = this.opts.clock.nowMs();
        const delayMs = Math.max(0, nowMs - dueAtMs);
        this.maxDelayMs = Math.max(this.maxDelayMs, delayMs);
        this.maxDelaySinceTakenMs = Math.max(this.maxDelaySinceTakenMs, delayMs);
        if (this.maxDelayMs >= WARNING_DELAY_MS && nowMs >= this.warnedAtMs + WARNING_INTERVAL_MS) {
            this.warn(nowMs);
        }
    }

    /** Returns the longest delay since the last call of this method, in milliseconds. */
    takeMaxDelayMs(): number {
        const delayMs = this.maxDelaySinceTakenMs;
        this.maxDelaySinceTakenMs = 0;
        return delayMs;
    }

    private warn(nowMs: number): void {
        const processorMs = this.opts.processorMs();
        this.opts.logger.warn("event-loop-delayed", {
            delayMs: Math.round(this.maxDelayMs),
            processorMs: Math.round(processorMs - this.processorMsAtWarning),
            ...Number.isFinite(this.warnedAtMs) ? { periodMs: Math.round(nowMs - this.warnedAtMs) } : {},
        });
        this.warnedAtMs = nowMs;
        this.processorMsAtWarning = processorMs;
        this.maxDelayMs = 0;
    }
}
