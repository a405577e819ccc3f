import type { JobRecord } from "@knapweedwood/batch.jobs/jobRecord";

const MS_PER_SECOND = 1000;
const MS_PER_HOUR = 3_600_000;

/** Converts a job to the batch object of the OpenAI API. */
export function batchObject(job: JobRecord): object {
    const finishedAt = toSeconds(job.finishedAtMs);
    return {
        id: job.jobId,
        object: "batch",
        endpoint: job.endpoint,
        errors: job.errors.length === 0 ? null : { object: "list", data: job.errors.map(toErrorObject) },
        input_file_id: job.inputFileId,
        completion_window: `${Math.max(1, Math.round((job.dueAtMs - job.createdAtMs) / MS_PER_HOUR))}h`,
        status: job.state,
        output_file_id: job.outputFileId ?? null,
        error_file_id: job.errorFileId ?? null,
        created_at: toSeconds(job.createdAtMs),
        in_progress_at: job.state === "validating" ? null : toSeconds(job.createdAtMs),
        expires_at: toSeconds(job.dueAtMs),
        completed_at: job.state === "completed" ? finishedAt : null,
        failed_at: job.state === "failed" ? finishedAt : null,
        cancelling_at: toSeconds(job.cancelledAtMs),
        cancelled_at: job.state === "cancelled" ? finishedAt : null,
        request_counts: {
            total: job.itemCounts.total,
            completed: job.itemCounts.completed,
            failed: job.itemCounts.failed,
        },
        metadata: job.metadata,
    };
}

function toErrorObject(error: JobRecord["errors"][number]): object {
    return { code: error.code, message: error.message, line: error.line ?? null, param: null };
}

function toSeconds(timeMs: number | undefined): number | null {
    return timeMs === undefined ? null : Math.floor(timeMs / MS_PER_SECOND);
}
