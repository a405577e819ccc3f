import type { EngineLoad } from "@knapweedwood/engines.model-engine/engineLoad";

/** Records load samples, so that an engine can report its load with a lag. */
export class LoadHistory {
    private readonly lagMs: number;
    private records: { atMs: number; load: EngineLoad; }[] = [];

    constructor(lagMs: number) {
        this.lagMs = lagMs;
    }

    /** Records a sample and drops those that are too old to be reported again. */
    record(atMs: number, load: EngineLoad): void {
        this.records.push({ atMs, load });
        const firstNeeded = this.records.findLastIndex(record => record.atMs <= atMs - this.lagMs);
        this.records = firstNeeded > 0 ? this.records.slice(firstNeeded) : this.records;
    }

    /** Returns the newest load that is at least as old as the lag, or undefined if there is none. */
    reportedAt(nowMs: number): EngineLoad | undefined {
        return this.records.findLast(record => record.atMs <= nowMs - this.lagMs)?.load;
    }
}
