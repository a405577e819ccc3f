import type { HandedOutItem } from "@knapweedwood/batch.jobs/handedOutItem";
import { ItemSet } from "@knapweedwood/batch.jobs/itemSet";
import { jobChart } from "@knapweedwood/batch.jobs/jobChart";
import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import type { SealedResults } from "./sealedResults.js";

/** Returns the progress after a checkpoint: the committed progress with everything in `sealed` and `claims` added. */
export function planCheckpoint(opts: {
    progress: JobProgress;
    sealed: readonly SealedResults[];
    claims: readonly number[];
    histories: JobProgress["histories"];
    /** Items that gates hold; empty unless the partition is handed over with this write. */
    handedOut: readonly HandedOutItem[];
    writeId: string;
}): JobProgress {
    const { progress, sealed } = opts;
    const finished = new ItemSet(progress.finished);
    sealed.flatMap(segment => segment.indexes).forEach(index => finished.add(index));
    const claimed = new ItemSet(progress.claimed);
    opts.claims.forEach(index => claimed.add(index));
    const resultCount = sum(sealed.map(segment => segment.indexes.length));
    const failedCount = sum(sealed.map(segment => segment.failedCount));
    const hasAllResults = finished.size === progress.totalCount;
    return {
        ...progress,
        state: jobChart.next(progress.state, hasAllResults ? "drained" : "checkpoint"),
        writeId: opts.writeId,
        completedCount: progress.completedCount + resultCount - failedCount,
        failedCount: progress.failedCount + failedCount,
        finished: finished.toRanges(),
        claimed: claimed.toRanges(),
        results: [...progress.results, ...sealed.map(results => results.segment)],
        histories: opts.histories.filter(history => !finished.has(history.index)),
        handedOut: opts.handedOut.filter(item => !finished.has(item.index)),
        checkpointCount: progress.checkpointCount + 1,
    };
}

function sum(numbers: number[]): number {
    return numbers.reduce((total, number) => total + number, 0);
}
