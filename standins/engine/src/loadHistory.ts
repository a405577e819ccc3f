import type { EngineLoad } from "@knapweedwood/engines.model-engine/engineLoad";

/** Remembers loads so that a report can be as old as the lag says. */
export class LaggingLoad {
    private readonly lagMs: number;
    private records: { atMs: number; load: EngineLoad; }[] = [];

    constructor(lagMs: number) {
        this.lagMs = lagMs;
    }

    record(atMs: number, load: EngineLoad): void {
        this.records.push({ atMs, load });
        const firstNeeded = this.records.findLastIndex(record => record.atMs <= atMs - this.lagMs);
        this.records = firstNeeded > 0 ? this.records.slice(firstNeeded) : this.records;
    }

    /** The newest load that is at least as old as the lag; undefined where none is. */
    at(nowMs: number): EngineLoad | undefined {
        return this.records.findLast(record => record.atMs <= nowMs - this.lagMs)?.load;
    }
}
