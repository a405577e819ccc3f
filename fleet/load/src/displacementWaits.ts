import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { DisplacementWait } from "./displacementWait.js";
import type { LoadTracker } from "./loadTracker.js";

/** Time after the end of a batch run in which its upstream may still reject requests because of it, in milliseconds. */
const SLOT_RELEASE_MS = 100;
/** Shortest time between the rejection of a request and its next attempt at the same upstream, in milliseconds. */
const MIN_PAUSE_MS = 10;

interface Waiting {
    upstream: Upstream;
    /** Earliest and latest end of the wait, in milliseconds. */
    fromMs: number;
    untilMs: number;
    onEnded: () => void;
}

/**
 * Online requests that an upstream has rejected as full while batch runs took its slots. Each still counts as a request
 * there, so that the leader ends such a run, and is sent again when the load reports show that its slot is free.
 *
 * Load pattern: an upstream without a queue whose only slots run batch items, and an online request with no other upstream.
 */
export class DisplacementWaits {
    private readonly clock: Clock;
    private readonly loadTracker: LoadTracker;
    private readonly waiting = new Set<Waiting>();

    constructor(opts: { clock: Clock; loadTracker: LoadTracker; }) {
        this.clock = opts.clock;
        this.loadTracker = opts.loadTracker;
    }

    /** Whether batch runs are why an upstream rejects one more request: they are to end for it, or have just ended. */
    isFullOfRuns({ id, slots }: Upstream): boolean {
        const online = this.loadTracker.onlineCount(id) + 1;
        const batch = this.loadTracker.batchCount(id);
        return batch > 0
            ? online + batch > slots
            : online <= slots && this.clock.nowMs() <= this.loadTracker.batchEndedAtMs(id) + SLOT_RELEASE_MS;
    }

    /**
     * Waits until no batch run takes the slot of a request that counts at an upstream.
     *
     * @param opts.untilMs time at which the wait ends in any case, in milliseconds
     * @param opts.onEnded called at the end of the wait
     */
    add(opts: { upstream: Upstream; untilMs: number; onEnded: () => void; }): DisplacementWait {
        const waiting = { ...opts, fromMs: this.clock.nowMs() + MIN_PAUSE_MS };
        this.waiting.add(waiting);
        const timers = [MIN_PAUSE_MS, opts.untilMs - this.clock.nowMs()]
            .map(delayMs => this.clock.setTimer(Math.max(0, delayMs), () => this.review(waiting)));
        return {
            cancel: () => {
                this.waiting.delete(waiting);
                timers.forEach(timer => timer.cancel());
            },
        };
    }

    /** Ends the waits whose slots are free. To be called when the load has changed. */
    dispatch(): void {
        [...this.waiting].forEach(waiting => this.review(waiting));
    }

    private review(waiting: Waiting): void {
        const nowMs = this.clock.nowMs();
        if (!this.waiting.has(waiting) || nowMs < waiting.fromMs) {
            return;
        }
        const { id, slots } = waiting.upstream;
        const batch = this.loadTracker.batchCount(id);
        // Without runs, the online requests beyond the slots are others that wait here: one of them is served first.
        const isFree = batch === 0 || this.loadTracker.onlineCount(id) + batch <= slots;
        if (isFree || nowMs >= waiting.untilMs) {
            this.waiting.delete(waiting);
            waiting.onEnded();
        }
    }
}
