import type { EngineLoad } from "@knapweedwood/engines.model-engine/engineLoad";

/** Records load samples, so that an engine can report its load with a lag. */
export class LoadHistory {
    private readonly lagMs: number;
    private samples: { atMs: number; load: EngineLoad; }[] = [];

    constructor(lagMs: number) {
        this.lagMs = lagMs;
    }

    /** Records a sample and drops those that are too old to be reported again. */
    record(atMs: number, load: EngineLoad): void {
        this.samples.push({ atMs, load });
        const firstNeeded = this.samples.findLastIndex(record => record.atMs <= atMs - this.lagMs);
        this.samples = firstNeeded > 0 ? this.samples.slice(firstNeeded) : this.samples;
    }

    /** Returns the newest load that is at least as old as the lag, or undefined if there is none. */
    reportedAt(nowMs: number): EngineLoad | undefined {
        return this.samples.findLast(record => record.atMs <= nowMs - this.lagMs)?.load;
    }
}
