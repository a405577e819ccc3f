import { batchKeys } from "@knapweedwood/batch.jobs/batchKeys";
import { createSortableId } from "@knapweedwood/batch.jobs/createSortableId";
import { jobChart } from "@knapweedwood/batch.jobs/jobChart";
import type { JobManifest } from "@knapweedwood/batch.jobs/jobManifest";
import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import type { StoredFile } from "@knapweedwood/batch.jobs/storedFile";
import { totalSizeBytes } from "@knapweedwood/batch.jobs/totalSizeBytes";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { Random } from "@knapweedwood/core.random/random";
import type { PlannedWrite } from "./plannedWrite.js";
import { writeOutputs } from "./writeOutputs.js";

/**
 * Writes the segments of a job's output and error files. Returns the planned write that stores the file records,
 * removes the job from the open jobs and makes it final.
 */
export async function finalizeJob(opts: {
    manifest: JobManifest;
    progress: JobProgress;
    baseRevision: number;
    segmentStore: SegmentStore;
    clock: Clock;
    random: Random;
    writeId: string;
}): Promise<PlannedWrite> {
    const { manifest, progress } = opts;
    const output = await createFile(opts, false);
    const errors = await createFile(opts, true);
    const next: JobProgress = {
        ...progress,
        state: jobChart.next(progress.state, "finished"),
        writeId: opts.writeId,
        finishedAtMs: opts.clock.nowMs(),
        outputFileId: output?.record.fileId,
        errorFileId: errors?.record.fileId,
    };
    const files = [output, errors].filter(file => file !== undefined);
    const operations: KeyValueOperation[] = [
        ...files.map(file => ({
            kind: "put" as const,
            key: batchKeys.file(manifest.teamId, file.record.fileId),
            value: encodeRecord(file),
        })),
        { kind: "delete", key: batchKeys.openJob(manifest.jobId) },
    ];
    return { baseRevision: opts.baseRevision, progress: next, operations };
}

async function createFile(opts: Parameters<typeof finalizeJob>[0], failed: boolean): Promise<StoredFile | undefined> {
    const { manifest, progress, clock, random } = opts;
    const segments = await writeOutputs(opts.segmentStore, progress.results, failed);
    if (segments.length === 0) {
        return undefined;
    }
    const nowMs = clock.nowMs();
    const record = {
        fileId: createSortableId({ prefix: "file-", nowMs, random }) as FileId,
        teamId: manifest.teamId,
        fileName: `${manifest.jobId}_${failed ? "error" : "output"}.jsonl`,
        purpose: "batch_output",
        sizeBytes: totalSizeBytes(segments),
        createdAtMs: nowMs,
    };
    return { record, segments };
}
