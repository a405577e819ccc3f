import type { JobManifest } from "./jobManifest.js";
import type { JobProgress } from "./jobProgress.js";
import type { JobRecord } from "./jobRecord.js";

/** Returns the job as callers see it. */
export function toJobRecord(manifest: JobManifest, progress: JobProgress): JobRecord {
    return {
        jobId: manifest.jobId,
        teamId: manifest.teamId,
        endpoint: manifest.endpoint,
        inputFileId: manifest.inputFileId,
        outputFileId: progress.outputFileId,
        errorFileId: progress.errorFileId,
        state: progress.state,
        metadata: manifest.metadata,
        createdAtMs: manifest.createdAtMs,
        dueAtMs: manifest.dueAtMs,
        finishedAtMs: progress.finishedAtMs,
        cancelledAtMs: progress.cancelledAtMs,
        itemCounts: {
            total: progress.totalCount,
            completed: progress.completedCount,
            failed: progress.failedCount,
        },
        errors: progress.errors,
    };
}
