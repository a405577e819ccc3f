import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Random } from "@knapweedwood/core.random/random";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { StreamRun } from "./streamRun.js";

/** Time between events at an engine of slowness 1, in milliseconds. */
const EVENT_GAP_MS = 12;
/** Largest share by which a time differs from its mean. */
const GAP_VARIATION = 0.5;

interface UnequalEngineOptions {
    clock: Clock;
    random: Random;
    upstream: Upstream;
    /** Ratio of the engine's times now to those of an engine of mean speed. */
    slowness: (nowMs: number) => number;
}

/** Simulates an engine whose speed differs from that of others and changes. It queues what exceeds its slots. */
export class UnequalEngine {
    readonly upstream: Upstream;
    private readonly opts: UnequalEngineOptions;
    private running = 0;
    private readonly queue: StreamRun[] = [];

    constructor(opts: UnequalEngineOptions) {
        this.opts = opts;
        this.upstream = opts.upstream;
    }

    submit(run: StreamRun): void {
        if (this.running >= this.upstream.slots) {
            this.queue.push(run);
            return;
        }
        this.running += 1;
        this.after(run.firstEventMs, () => {
            run.onFirstEvent();
            this.sendEvents(run, run.eventCount);
        });
    }

    private sendEvents(run: StreamRun, eventsLeft: number): void {
        if (eventsLeft > 0) {
            this.after(EVENT_GAP_MS, () => {
                run.onEvent();
                this.sendEvents(run, eventsLeft - 1);
            });
            return;
        }
        this.running -= 1;
        run.onEnd();
        const next = this.queue.shift();
        if (next !== undefined) {
            this.submit(next);
        }
    }

    private after(meanMs: number, action: () => void): void {
        const { clock, random } = this.opts;
        const variation = 1 - GAP_VARIATION + 2 * GAP_VARIATION * random.next();
        clock.setTimer(meanMs * variation * this.opts.slowness(clock.nowMs()), action);
    }
}
