import type { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { Random } from "@knapweedwood/core.random/random";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";

const RESTART_MS = 2000;

interface SimulatedUpstream {
    /** Its entry, of which the processes learn late. */
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
    private readonly onStarted: (entry: Upstream) => void;
    private starts = 0;

    constructor(opts: { clock: ManualClock; random: Random; count: number; onStarted: (entry: Upstream) => void; }) {
        this.clock = opts.clock;
        this.random = opts.random;
        this.onStarted = opts.onStarted;
        this.upstreams = Array.from({ length: opts.count }, (_, index) => this.start(index));
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
            this.upstreams[index] = this.start(index);
        });
    }

    /** Whether the process of an upstream that an entry describes is running. */
    isRunning({ id, startedAtMs }: Upstream): boolean {
        return this.upstreams.some(({ entry, isUp }) => isUp && entry.id === id && entry.startedAtMs === startedAtMs);
    }

    private start(index: number): SimulatedUpstream {
        this.starts += 1;
        const entry = { id: `upstream-${index}`, startedAtMs: this.starts } as Upstream;
        this.onStarted(entry);
        return { entry, isUp: true, runs: new Set() };
    }
}
