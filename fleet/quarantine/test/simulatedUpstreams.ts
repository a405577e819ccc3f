import type { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { Random } from "@knapweedwood/core.random/random";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";

const RESTART_MS = 2000;

interface SimulatedUpstream {
    entry: Upstream;
    isUp: boolean;
    /** Called when the upstream crashes, one for each run at it. */
    runs: Set<() => void>;
}

/** The upstreams of a service. A crash breaks off all runs at an upstream, which is back after a while. */
export class SimulatedUpstreams {
    private readonly clock: ManualClock;
    private readonly random: Random;
    private readonly upstreams: SimulatedUpstream[];
    private starts = 0;

    constructor(opts: { clock: ManualClock; random: Random; count: number; }) {
        this.clock = opts.clock;
        this.random = opts.random;
        this.upstreams = Array.from({ length: opts.count }, () => this.started());
    }

    /** Returns any upstream that runs and is none of `excluded`; undefined if there is none. */
    choose(excluded: ReadonlySet<SimulatedUpstream>): SimulatedUpstream | undefined {
        const candidates = this.upstreams.filter(upstream => upstream.isUp && !excluded.has(upstream));
        return candidates[Math.floor(this.random.next() * candidates.length)];
    }

    crash(upstream: SimulatedUpstream): void {
        const index = this.upstreams.indexOf(upstream);
        upstream.isUp = false;
        [...upstream.runs].forEach(cut => cut());
        this.clock.setTimer(RESTART_MS, () => {
            this.upstreams[index] = this.started();
        });
    }

    private started(): SimulatedUpstream {
        this.starts += 1;
        const entry = { id: `u-${this.starts}`, startedAtMs: this.starts } as Upstream;
        return { entry, isUp: true, runs: new Set() };
    }
}
