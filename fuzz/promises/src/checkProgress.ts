import { ItemSet } from "@knapweedwood/batch.jobs/itemSet";
import { jobChart } from "@knapweedwood/batch.jobs/jobChart";
import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import type { JobSnapshot } from "./jobSnapshot.js";
import { promiseViolation } from "./promiseViolation.js";

/**
 * Checks a job's committed progress, also against the snapshot taken at the previous check.
 *
 * Throws `PROMISE_BROKEN` where a promise doesn't hold. Without a snapshot, only the counts are checked.
 */
export function checkProgress(jobId: string, before: JobSnapshot | undefined, after: JobProgress): void {
    const finished = new ItemSet(after.finished);
    const resultCount = after.results.reduce((sum, segment) => sum + segment.lineCount, 0);
    requireAll("each finished item has one result", jobId, [
        finished.size === resultCount,
        finished.size === after.completedCount + after.failedCount,
        finished.size <= after.totalCount,
    ], after);
    if (before === undefined || before.progress.writeId === after.writeId) {
        return;
    }
    const previousProgress = before.progress;
    requireAll("a final job does not change", jobId, [!jobChart.isFinal(previousProgress.state)], after);
    requireAll("committed results stay", jobId, [
        previousProgress.finished.every(range => finished.has(range.first) && finished.has(range.last)),
        finished.size >= new ItemSet(previousProgress.finished).size,
    ], after);
    requireAll("a cancelled job does not go on", jobId, [
        previousProgress.state !== "cancelling" || (["cancelling", "cancelled"].includes(after.state)
            && finished.size === new ItemSet(previousProgress.finished).size),
    ], after);
    const isOwnerWrite = !after.writeId.startsWith("cancel-");
    requireAll("an earlier owner commits nothing", jobId, [
        !isOwnerWrite || after.fencingNumber >= before.partitionFencingNumber,
    ], { fencingNumber: after.fencingNumber, expected: before.partitionFencingNumber });
}

function requireAll(promise: string, jobId: string, conditions: boolean[], details: unknown): void {
    if (!conditions.every(Boolean)) {
        throw promiseViolation(promise, { jobId, details });
    }
}
