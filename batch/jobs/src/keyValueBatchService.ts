import { commitTransaction } from "@knapweedwood/batch.records/commitTransaction";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { listRecords } from "@knapweedwood/batch.records/listRecords";
import { readRecord } from "@knapweedwood/batch.records/readRecord";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import { writeLineSegments } from "@knapweedwood/batch.segments/writeLineSegments";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import { batchKeys } from "./batchKeys.js";
import type { BatchService } from "./batchService.js";
import { createSortableId } from "./createSortableId.js";
import type { FileRecord } from "./fileRecord.js";
import { JobAcceptance } from "./jobAcceptance.js";
import { JobCancellation } from "./jobCancellation.js";
import type { JobManifest } from "./jobManifest.js";
import type { JobProgress } from "./jobProgress.js";
import type { JobRecord } from "./jobRecord.js";
import type { StoredFile } from "./storedFile.js";
import { toJobRecord } from "./toJobRecord.js";
import { totalSizeBytes } from "./totalSizeBytes.js";

const DEFAULT_LIST_LIMIT = 20;

interface KeyValueBatchServiceOptions {
    keyValue: KeyValueService;
    segmentStore: SegmentStore;
    clock: Clock;
    random: Random;
    /** Called once a cancellation is committed, so that gates are notified immediately. */
    onCancelled?: (jobId: JobId) => void;
}

/** Stores files and jobs in the key-value service and in segments. Any entry can serve any job. */
export class KeyValueBatchService implements BatchService {
    private readonly opts: KeyValueBatchServiceOptions;
    private readonly acceptance: JobAcceptance;
    private readonly cancellation: JobCancellation;

    constructor(opts: KeyValueBatchServiceOptions) {
        this.opts = opts;
        this.acceptance = new JobAcceptance(opts);
        this.cancellation = new JobCancellation(opts);
    }

    async createFile(opts: Parameters<BatchService["createFile"]>[0]): Promise<FileRecord> {
        const { clock, random, keyValue, segmentStore } = this.opts;
        const nowMs = clock.nowMs();
        const fileId = createSortableId({ prefix: "file-", nowMs, random }) as FileId;
        const segments = await writeLineSegments(segmentStore, opts.content);
        const record: FileRecord = {
            fileId,
            teamId: opts.teamId,
            fileName: opts.fileName,
            purpose: opts.purpose,
            sizeBytes: totalSizeBytes(segments),
            createdAtMs: nowMs,
        };
        const key = batchKeys.file(opts.teamId, fileId);
        await commitTransaction({
            keyValue,
            clock,
            random,
            compares: [{ key, modRevision: 0 }],
            operations: [{ kind: "put", key, value: encodeRecord({ record, segments } satisfies StoredFile) }],
        });
        return record;
    }

    async getFile(opts: { teamId: TeamId; fileId: FileId; }): Promise<FileRecord> {
        return (await this.readStoredFile(opts)).record;
    }

    async listFiles(opts: { teamId: TeamId; }): Promise<FileRecord[]> {
        const files = await listRecords<StoredFile>(this.opts.keyValue, batchKeys.files(opts.teamId));
        return files.map(file => file.value.record);
    }

    /**
     * Removes the file's record. Its segments may belong to other files too, so they are left to a cleanup of segments
     * that no record references.
     */
    async deleteFile(opts: { teamId: TeamId; fileId: FileId; }): Promise<void> {
        await this.readStoredFile(opts);
        await this.opts.keyValue.transact([], [{ kind: "delete", key: batchKeys.file(opts.teamId, opts.fileId) }]);
    }

    async *readFile(opts: { teamId: TeamId; fileId: FileId; }): AsyncIterable<Uint8Array> {
        const file = await this.readStoredFile(opts);
        for (const segment of file.segments) {
            yield await this.opts.segmentStore.get(segment.digest);
        }
    }

    async createJob(opts: Parameters<BatchService["createJob"]>[0]): Promise<JobRecord> {
        const file = await this.readStoredFile({ teamId: opts.teamId, fileId: opts.inputFileId });
        return await this.acceptance.accept({ ...opts, file });
    }

    async getJob(opts: { teamId: TeamId; jobId: JobId; }): Promise<JobRecord> {
        const { keyValue } = this.opts;
        const [manifest, progress] = await Promise.all([
            readRecord<JobManifest>(keyValue, batchKeys.manifest(opts.jobId)),
            readRecord<JobProgress>(keyValue, batchKeys.progress(opts.jobId)),
        ]);
        if (manifest === undefined || progress === undefined || manifest.value.teamId !== opts.teamId) {
            throw jobNotFoundError(opts.jobId);
        }
        return toJobRecord(manifest.value, progress.value);
    }

    async listJobs(opts: { teamId: TeamId; limit?: number; afterJobId?: JobId; }): Promise<JobRecord[]> {
        const prefix = batchKeys.teamJobs(opts.teamId);
        const entries = await this.opts.keyValue.list(prefix, {
            limit: opts.limit ?? DEFAULT_LIST_LIMIT,
            afterKey: opts.afterJobId && batchKeys.teamJob(opts.teamId, opts.afterJobId),
        });
        return await Promise.all(
            entries.map(entry => this.getJob({ teamId: opts.teamId, jobId: entry.key.slice(prefix.length) as JobId })),
        );
    }

    async cancelJob(opts: { teamId: TeamId; jobId: JobId; }): Promise<JobRecord> {
        await this.getJob(opts);
        await this.cancellation.cancel(opts.jobId);
        return await this.getJob(opts);
    }

    private async readStoredFile(opts: { teamId: TeamId; fileId: FileId; }): Promise<StoredFile> {
        const file = await readRecord<StoredFile>(this.opts.keyValue, batchKeys.file(opts.teamId, opts.fileId));
        if (file === undefined) {
            throw new KnapweedError("FILE_NOT_FOUND", `File ${opts.fileId} was not found`, {
                statusCode: 404,
                outcome: "not-run",
            });
        }
        return file.value;
    }
}

function jobNotFoundError(jobId: JobId): KnapweedError {
    return new KnapweedError("JOB_NOT_FOUND", `Batch job ${jobId} was not found`, {
        statusCode: 404,
        outcome: "not-run",
    });
}
