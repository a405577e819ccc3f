import { commitTransaction } from "@knapweedwood/batch.records/commitTransaction";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { readRecord } from "@knapweedwood/batch.records/readRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import { batchKeys } from "./batchKeys.js";
import type { BatchService } from "./batchService.js";
import { createSortableId } from "./createSortableId.js";
import { initialProgress } from "./initialProgress.js";
import type { JobManifest } from "./jobManifest.js";
import type { JobProgress } from "./jobProgress.js";
import type { JobRecord } from "./jobRecord.js";
import type { OpenJob } from "./openJob.js";
import type { StoredFile } from "./storedFile.js";
import { toJobRecord } from "./toJobRecord.js";

const MIN_SERVER_ERROR_STATUS = 500;
const DEFAULT_DUE_MS = 24 * 60 * 60 * 1000;

type AcceptOptions = Parameters<BatchService["createJob"]>[0] & { file: StoredFile; };

/** Accepts jobs. A compare-and-swap on the team's idempotency key ensures at most one job per key. */
export class JobAcceptance {
    private readonly opts: { keyValue: KeyValueService; clock: Clock; random: Random; };

    constructor(opts: { keyValue: KeyValueService; clock: Clock; random: Random; }) {
        this.opts = opts;
    }

    /**
     * Accepts a job, or returns the job accepted earlier under the same idempotency key. Rejects with
     * `IDEMPOTENCY_KEY_REUSED` if that job has another input file or endpoint, with `JOB_NOT_ACCEPTED` (outcome
     * `not-run`) if a concurrently accepted job was removed meanwhile, or with `JOB_OUTCOME_UNKNOWN` (outcome
     * `unknown`) if such a job can't be read.
     */
    async accept(opts: AcceptOptions): Promise<JobRecord> {
        return await this.findAccepted(opts) ?? await this.create(opts);
    }

    private async create(opts: AcceptOptions): Promise<JobRecord> {
        const { random, clock } = this.opts;
        const nowMs = clock.nowMs();
        const jobId = createSortableId({ prefix: "batch_", nowMs, random }) as JobId;
        const manifest: JobManifest = {
            jobId,
            teamId: opts.teamId,
            endpoint: opts.endpoint,
            inputFileId: opts.inputFileId,
            input: opts.file.segments,
            metadata: opts.metadata,
            idempotencyKey: opts.idempotencyKey,
            createdAtMs: nowMs,
            dueAtMs: nowMs + (opts.dueMs ?? DEFAULT_DUE_MS),
        };
        const progress = initialProgress(jobId);
        const idempotency = batchKeys.idempotency(opts.teamId, opts.idempotencyKey);
        const open: OpenJob = { jobId, cancelled: false };
        const result = await commitTransaction({
            ...this.opts,
            compares: [{ key: idempotency, modRevision: 0 }],
            operations: [
                { kind: "put", key: idempotency, value: encodeRecord({ jobId }) },
                { kind: "put", key: batchKeys.manifest(jobId), value: encodeRecord(manifest) },
                { kind: "put", key: batchKeys.progress(jobId), value: encodeRecord(progress) },
                { kind: "put", key: batchKeys.openJob(jobId), value: encodeRecord(open) },
                { kind: "put", key: batchKeys.teamJob(opts.teamId, jobId), value: encodeRecord({ jobId }) },
            ],
        });
        const record = result.succeeded ? toJobRecord(manifest, progress) : await this.readConcurrentlyAccepted(opts);
        if (record === undefined) {
            throw new KnapweedError("JOB_NOT_ACCEPTED", "The job was removed while it was being accepted", {
                outcome: "not-run",
                statusCode: 503,
            });
        }
        return record;
    }

    /**
     * Returns the job that another request accepted under the same key. That job exists, so a failure to read it must
     * not be reported as `not-run`.
     */
    private async readConcurrentlyAccepted(opts: AcceptOptions): Promise<JobRecord | undefined> {
        try {
            return await this.findAccepted(opts);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            if (error.statusCode !== undefined && error.statusCode < MIN_SERVER_ERROR_STATUS) {
                throw error;
            }
            throw new KnapweedError("JOB_OUTCOME_UNKNOWN", "A job was accepted under the key but could not be read", {
                cause: error,
                outcome: "unknown",
                statusCode: 503,
                hint: "Send the request again with the same idempotency key",
            });
        }
    }

    /** Returns the job accepted earlier under the same idempotency key; undefined if there is none. */
    private async findAccepted(opts: AcceptOptions): Promise<JobRecord | undefined> {
        const { keyValue } = this.opts;
        const key = batchKeys.idempotency(opts.teamId, opts.idempotencyKey);
        const found = await readRecord<{ jobId: JobId; }>(keyValue, key);
        if (found === undefined) {
            return undefined;
        }
        const { jobId } = found.value;
        const manifest = await readRecord<JobManifest>(keyValue, batchKeys.manifest(jobId));
        const progress = await readRecord<JobProgress>(keyValue, batchKeys.progress(jobId));
        if (manifest === undefined || progress === undefined) {
            return undefined;
        }
        if (manifest.value.inputFileId !== opts.inputFileId || manifest.value.endpoint !== opts.endpoint) {
            throw new KnapweedError("IDEMPOTENCY_KEY_REUSED", "The idempotency key belongs to another job", {
                statusCode: 409,
                outcome: "not-run",
                parameter: "Idempotency-Key",
            });
        }
        return toJobRecord(manifest.value, progress.value);
    }
}
