import type { EngineLoad } from "@knapweedwood/engines.model-engine/engineLoad";

/** Remembers loads so that a report can be as old as the lag says. */
export class LoadHistory {
    private readonly lagMs: number;
    private samples: { atMs: number; load: EngineLoad; }[] = [];

    constructor(lagMs: number) {
        this.lagMs = lagMs;
    }

    record(atMs: number, load: EngineLoad): void {
        this.samples.push({ atMs, load });
        const firstNeeded = this.samples.findLastIndex(record => record.atMs <= atMs - this.lagMs);
        this.samples = firstNeeded > 0 ? this.samples.slice(firstNeeded) : this.samples;
    }

    /** The newest load that is at least as old as the lag; undefined where none is. */
    reportedAt(nowMs: number): EngineLoad | undefined {
        return this.samples.findLast(record => record.atMs <= nowMs - this.lagMs)?.load;
    }
}
