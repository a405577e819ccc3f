import type { FolderSegmentStore } from "@knapweedwood/batch.segments/folderSegmentStore";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import { isInvalidCall } from "@knapweedwood/core.key-value/isInvalidCall";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { settleTransaction } from "@knapweedwood/core.key-value/settleTransaction";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { Packr } from "msgpackr";
import { hasTombstone } from "./hasTombstone.js";
import type { HeldJob } from "./heldJob.js";
import { jobKeys } from "./jobKeys.js";
import type { JobRecord } from "./jobRecord.js";
import { planJobWrite } from "./planJobWrite.js";
import { TOMBSTONE_RETENTION_MS } from "./tombstoneRetentionMs.js";

/** Minimum pause between attempts to write held jobs to the key-value service, in milliseconds. */
const WRITE_INTERVAL_MS = 250;
/** Time that the leader has to write a job before another runner does, in milliseconds. */
const LEADER_WRITE_MS = 1500;
/** Attempts to write one job while other writes change the waiting tokens of its route. */
const MAX_CONFLICTS = 8;
/** Pause before a job is written again that the key-value service rejects for what it contains, in milliseconds. */
const INVALID_RETRY_DELAY_MS = 10_000;

/** A job with the digest of its file; without one it is held by other runners only. */
type WritableJob = readonly [SegmentDigest | undefined, HeldJob];

/** Why a job couldn't be written. */
interface WriteFailure {
    code: string;
    /** Time before which it isn't tried again, on the clock. */
    notBeforeMs: number;
}

interface HeldJobsOptions {
    segments: FolderSegmentStore;
    service: KeyValueService;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Called with each held job, so that it can run before it is written. */
    onHeld: (job: HeldJob) => void;
    /** Whether this process leads. The leader writes held jobs first, so that the runners don't contend. */
    isLeading: () => boolean;
}

/** The jobs held on this instance's disk until they are written to the key-value service. */
export class HeldJobs {
    private readonly opts: HeldJobsOptions;
    private readonly packr = new Packr({ useRecords: false });
    private readonly jobs = new Map<SegmentDigest, HeldJob>();
    /** Jobs that this process runs as the leader and that only other runners hold. */
    private readonly adopted = new Map<JobId, HeldJob>();
    /** The last failures of jobs that couldn't be written. */
    private readonly failures = new Map<JobId, WriteFailure>();
    private lastFailedJobId: JobId | undefined;
    private readonly pendingHolds = new Set<Promise<void>>();
    /**
     * Resolves when files of interrupted writes have been removed and the others are listed; new writes have to wait for it.
     * Rejects if the disk can't be read, so that no job is held that would never be written.
     */
    private prepared: Promise<unknown> = Promise.resolve();
    /** Time at which the key-value service first answered since it last failed, on the clock; undefined while it fails. */
    private reachableSinceMs: number | undefined;
    private hasReadDisk = false;

    constructor(opts: HeldJobsOptions) {
        this.opts = opts;
    }

    /** Number of held jobs, including those still being written to disk; undefined until the disk has been read. */
    get count(): number | undefined {
        return this.hasReadDisk ? this.jobs.size + this.pendingHolds.size : undefined;
    }

    /** Whether the jobs held by earlier starts of the process have been read from the disk. */
    get isLoaded(): boolean {
        return this.hasReadDisk;
    }

    all(): HeldJob[] {
        return [...this.jobs.values()];
    }

    /**
     * Returns all held jobs for a new leader, shape [jobs], once those that are being written are on the disk. Rejects
     * with `HELD_JOBS_NOT_LOADED` until the disk has been read.
     */
    async collect(): Promise<HeldJob[]> {
        if (!this.hasReadDisk) {
            throw new KnapweedError("HELD_JOBS_NOT_LOADED", "Held jobs are still being read from the disk", {
                outcome: "not-run",
            });
        }
        await Promise.allSettled(this.pendingHolds);
        return this.all();
    }

    has(jobId: JobId): boolean {
        return this.recordOf(jobId) !== undefined;
    }

    /** Returns the record of a held job; undefined if it isn't held here. */
    recordOf(jobId: JobId): JobRecord | undefined {
        return this.all().find(job => job.record.jobId === jobId)?.record;
    }

    /**
     * Loads jobs held by an earlier start of the process, then writes held jobs until `signal` is aborted. Rejects if
     * the disk can't be read.
     */
    async run(signal: AbortSignal): Promise<void> {
        await this.load();
        while (!signal.aborted) {
            await sleep(this.opts.clock, WRITE_INTERVAL_MS * (1 + this.opts.random.next()), signal);
            await this.writeAll();
        }
    }

    /** Resolves once the job is synced to disk. Rejects with `SEGMENT_NOT_KEPT` if it can't be written there. */
    async hold(job: HeldJob): Promise<void> {
        const keeping = this.keep(job);
        this.pendingHolds.add(keeping);
        try {
            await keeping;
        }
        finally {
            this.pendingHolds.delete(keeping);
        }
        this.adopted.delete(job.record.jobId);
        this.opts.logger.info("job-held", { jobId: job.record.jobId });
        this.opts.onHeld(job);
    }

    /** Returns the jobs to be written, here or adopted, that were accepted `ageMs` ago or earlier, shape [jobs]. */
    olderThan(ageMs: number): HeldJob[] {
        const acceptedBeforeMs = this.opts.clock.nowMs() - ageMs;
        return [...this.jobs.values(), ...this.adopted.values()]
            .filter(({ record }) => record.acceptedAtMs <= acceptedBeforeMs);
    }

    /**
     * Also writes jobs that other runners hold, while this process leads. Those runners may be cut off from the key-value
     * service, and a job that runs must be stored to be cancelled.
     */
    adopt(jobs: readonly HeldJob[]): void {
        jobs.filter(({ record }) => !this.has(record.jobId)).forEach(job => this.adopted.set(job.record.jobId, job));
    }

    private async keep(job: HeldJob): Promise<void> {
        await this.prepared;
        const digest = await this.opts.segments.put(this.packr.pack(job));
        this.jobs.set(digest, job);
    }

    private async listPrepared(): Promise<SegmentDigest[]> {
        await this.opts.segments.prepare();
        return this.opts.segments.list();
    }

    private async load(): Promise<void> {
        const listing = this.listPrepared();
        this.prepared = listing;
        for (const digest of await listing) {
            try {
                const job = this.packr.unpack(await this.opts.segments.get(digest)) as HeldJob;
                this.jobs.set(digest, job);
                this.opts.onHeld(job);
            }
            catch (thrown) {
                this.opts.logger.warn("held-job-unreadable", { digest, code: toKnapweedError(thrown).code });
            }
        }
        this.hasReadDisk = true;
    }

    private async writeAll(): Promise<void> {
        if (!this.opts.isLeading()) {
            this.adopted.clear();
        }
        for (const [digest, job] of this.jobsToWrite()) {
            try {
                if (await this.isStored(job) || this.isOutdated(job) || await this.write(job)) {
                    await this.drop(digest, job);
                }
            }
            catch (thrown) {
                this.onNotWritten(job, toKnapweedError(thrown));
                if (!isInvalidCall(thrown)) {
                    this.reachableSinceMs = undefined;
                    return;
                }
            }
        }
    }

    /**
     * Returns the jobs to be written now, each with the digest of its file if it is held here. Those that failed last come last,
     * so that one that fails each time holds up no others.
     */
    private jobsToWrite(): WritableJob[] {
        const adopted = [...this.adopted.values()].map((job): WritableJob => [undefined, job]);
        const all = [...this.jobs, ...adopted];
        const first = all.findIndex(([, job]) => job.record.jobId === this.lastFailedJobId) + 1;
        const nowMs = this.opts.clock.nowMs();
        return [...all.slice(first), ...all.slice(0, first)]
            .filter(([, { record }]) => nowMs >= (this.failures.get(record.jobId)?.notBeforeMs ?? 0));
    }

    private onNotWritten(job: HeldJob, error: KnapweedError): void {
        const { jobId } = job.record;
        this.lastFailedJobId = jobId;
        this.logKept(job, error);
        const delayMs = isInvalidCall(error) ? INVALID_RETRY_DELAY_MS : 0;
        this.failures.set(jobId, { code: error.code, notBeforeMs: this.opts.clock.nowMs() + delayMs });
    }

    /** Logs why a job can't be written now, once for each reason. */
    private logKept({ record: { jobId, acceptedAtMs } }: HeldJob, { code, message }: KnapweedError): void {
        if (this.failures.get(jobId)?.code === code) {
            return;
        }
        const heldMs = Math.round(this.opts.clock.nowMs() - acceptedAtMs);
        this.opts.logger.info("held-job-kept", { jobId, code, message, heldMs, held: this.jobs.size });
    }

    /** @param digest names the file of the job; undefined if it is held by other runners only */
    private async drop(digest: SegmentDigest | undefined, job: HeldJob): Promise<void> {
        this.failures.delete(job.record.jobId);
        if (digest === undefined) {
            this.adopted.delete(job.record.jobId);
            return;
        }
        await this.opts.segments.remove(digest);
        this.jobs.delete(digest);
    }

    private async isStored(job: HeldJob): Promise<boolean> {
        const record = await this.opts.service.get(jobKeys.record(job.record.jobId));
        this.reachableSinceMs ??= this.opts.clock.nowMs();
        return record !== undefined;
    }

    /** Returns whether the job is so old that its tombstone may have been removed, if it had one. */
    private isOutdated({ record }: HeldJob): boolean {
        const isOutdated = this.opts.clock.nowMs() >= record.acceptedAtMs + TOMBSTONE_RETENTION_MS;
        if (isOutdated) {
            this.opts.logger.error("held-job-dropped", { jobId: record.jobId, reason: "outdated" });
        }
        return isOutdated;
    }

    /**
     * Writes a job that isn't stored yet, unless it was removed. Rejects if the outcome is uncertain.
     *
     * @returns false if the leader still has time to write it
     */
    private async write(job: HeldJob): Promise<boolean> {
        const { service, clock } = this.opts;
        const leaderEndsAtMs = (this.reachableSinceMs ?? Infinity) + LEADER_WRITE_MS;
        if (!this.opts.isLeading() && clock.nowMs() < leaderEndsAtMs) {
            return false;
        }
        const recordKey = jobKeys.record(job.record.jobId);
        for (let conflicts = 0; conflicts < MAX_CONFLICTS; conflicts += 1) {
            const waitingTokensEntry = await service.get(jobKeys.waitingTokens(job.record.routeName, job.record.team));
            const { compares, operations } = planJobWrite(job, waitingTokensEntry, service.maxValueSizeBytes);
            const result = await settleTransaction({ service, clock, compares, operations, witnessKey: recordKey });
            if (result.kind === "failed" && hasTombstone(result.current, job.record.jobId)) {
                this.opts.logger.info("held-job-dropped", { jobId: job.record.jobId, reason: "removed" });
                return true;
            }
            if (result.kind === "succeeded" || await this.isStored(job)) {
                this.opts.logger.info("held-job-written", { jobId: job.record.jobId });
                return true;
            }
        }
        throw new KnapweedError("JOB_UNSETTLED", "Every attempt to store the job conflicted with another write", {
            outcome: "unknown",
        });
    }
}
