import type { Clock } from "@knapweedwood/core.clock/clock";
import { setDeadlineTimer } from "@knapweedwood/core.clock/setDeadlineTimer";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { Route } from "@knapweedwood/fleet.view/route";

/**
 * Bounds of the time without a response after which an upstream counts as failing, in milliseconds. A shorter time than
 * the lower bound would blame upstreams for a busy gateway; after the upper one half of most callers' patience is over.
 */
const MIN_STALL_MS = 350;
const MAX_STALL_MS = 1000;
/** The same in units of the route's objective. */
const STALL_OBJECTIVE_FACTOR = 2.5;
/** Gap between events after which a stream counts as broken, in units of the route's maximum event gap. */
const STALL_EVENT_GAP_FACTOR = 2;

interface StallDetectorOptions {
    clock: Clock;
    route: Pick<Route, "objectiveMs" | "maxEventGapMs">;
    /** Whether the caller reads too slowly, so that a gap isn't the upstream's fault. */
    isCallerSlow: () => boolean;
    /** Called once when the upstream has not responded in time. */
    onNoResponse: () => void;
    /** Called once when a response that has begun stops for too long. */
    onPaused: () => void;
}

/** Detects an upstream that doesn't respond to a request, or whose response stops. */
export class StallDetector {
    private readonly opts: StallDetectorOptions;
    private timer: Timer;
    private hasResponded = false;
    private lastDataAtMs: number | undefined;

    constructor(opts: StallDetectorOptions) {
        this.opts = opts;
        this.timer = setDeadlineTimer(opts.clock, this.maxSilenceMs(), () => this.onTimer());
    }

    /** Whether data of the response has arrived. */
    get hasData(): boolean {
        return this.lastDataAtMs !== undefined;
    }

    /** Records the head of the response. */
    onHead(): void {
        this.hasResponded = true;
    }

    /**
     * Records data of the response.
     *
     * @param isProgress whether it completes an event of a stream. A response that receives only a few bytes of an
     * event now and then has stalled.
     */
    onData(isProgress: boolean): void {
        if (isProgress || this.lastDataAtMs === undefined) {
            this.lastDataAtMs = this.opts.clock.nowMs();
        }
    }

    cancel(): void {
        this.timer.cancel();
    }

    private onTimer(): void {
        if (this.lastDataAtMs !== undefined) {
            this.checkGap(this.lastDataAtMs);
        }
        else if (!this.hasResponded) {
            this.opts.onNoResponse();
        }
    }

    private checkGap(lastDataAtMs: number): void {
        const maxGapMs = this.maxGapMs();
        const leftMs = this.opts.isCallerSlow() ? maxGapMs : lastDataAtMs + maxGapMs - this.opts.clock.nowMs();
        if (leftMs <= 0) {
            this.opts.onPaused();
            return;
        }
        this.timer = setDeadlineTimer(this.opts.clock, leftMs, () => this.onTimer());
    }

    private maxGapMs(): number {
        return Math.max(MIN_STALL_MS, (this.opts.route.maxEventGapMs ?? MAX_STALL_MS) * STALL_EVENT_GAP_FACTOR);
    }

    private maxSilenceMs(): number {
        return Math.min(MAX_STALL_MS, Math.max(MIN_STALL_MS, this.opts.route.objectiveMs * STALL_OBJECTIVE_FACTOR));
    }
}
