import { batchKeys } from "@knapweedwood/batch.jobs/batchKeys";
import { jobChart } from "@knapweedwood/batch.jobs/jobChart";
import type { JobManifest } from "@knapweedwood/batch.jobs/jobManifest";
import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import { partitionOf } from "@knapweedwood/batch.jobs/partitionOf";
import { listRecords } from "@knapweedwood/batch.records/listRecords";
import { readRecord } from "@knapweedwood/batch.records/readRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";

/** Removes jobs of owned partitions, with their results, once they have been final for the retention time. */
export class JobRetention {
    private readonly opts: {
        keyValue: KeyValueService;
        clock: Clock;
        partitionCount: number;
        retentionMs: number;
        isOwned: (partitionId: PartitionId) => boolean;
    };

    constructor(opts: JobRetention["opts"]) {
        this.opts = opts;
    }

    /** Removes all expired jobs. @returns the number of jobs removed */
    async run(): Promise<number> {
        const { keyValue, partitionCount, isOwned } = this.opts;
        const records = await listRecords<{ jobId: JobId; }>(keyValue, batchKeys.allTeamJobs);
        const jobIds = records.map(record => record.value.jobId).filter(id => isOwned(partitionOf(id, partitionCount)));
        let removedCount = 0;
        for (const jobId of jobIds) {
            removedCount += Number(await this.removeIfExpired(jobId));
        }
        return removedCount;
    }

    private async removeIfExpired(jobId: JobId): Promise<boolean> {
        const { keyValue, clock, retentionMs } = this.opts;
        const progress = await readRecord<JobProgress>(keyValue, batchKeys.progress(jobId));
        const { state, finishedAtMs } = progress?.value ?? {};
        const isExpired = state !== undefined && jobChart.isFinal(state)
            && finishedAtMs !== undefined && clock.nowMs() - finishedAtMs >= retentionMs;
        const manifest = isExpired ? await readRecord<JobManifest>(keyValue, batchKeys.manifest(jobId)) : undefined;
        if (progress === undefined || manifest === undefined) {
            return false;
        }
        const result = await keyValue.transact(
            [{ key: progress.key, modRevision: progress.modRevision }],
            keysOf(manifest.value, progress.value).map(key => ({ kind: "delete" as const, key })),
        );
        return result.succeeded;
    }
}

function keysOf(manifest: JobManifest, progress: JobProgress): string[] {
    const { jobId, teamId } = manifest;
    const outputs = [progress.outputFileId, progress.errorFileId].filter(fileId => fileId !== undefined);
    return [
        batchKeys.progress(jobId),
        batchKeys.manifest(jobId),
        batchKeys.teamJob(teamId, jobId),
        batchKeys.idempotency(teamId, manifest.idempotencyKey),
        ...outputs.map(fileId => batchKeys.file(teamId, fileId)),
    ];
}
