import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import { batchKeys } from "@knapweedwood/batch.jobs/batchKeys";
import { jobChart } from "@knapweedwood/batch.jobs/jobChart";
import type { JobManifest } from "@knapweedwood/batch.jobs/jobManifest";
import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import type { OpenJob } from "@knapweedwood/batch.jobs/openJob";
import { readRecord } from "@knapweedwood/batch.records/readRecord";
import { readLines } from "@knapweedwood/batch.segments/readLines";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import { finalizeJob } from "./finalizeJob.js";
import { findLostItems } from "./findLostItems.js";
import { isCheckpointDue } from "./isCheckpointDue.js";
import { JobRun } from "./jobRun.js";
import type { PartitionOwnerOptions } from "./partitionOwnerOptions.js";
import { planCheckpoint } from "./planCheckpoint.js";
import { ProgressCommitter } from "./progressCommitter.js";
import { validateInput } from "./validateInput.js";

const TICK_MS = 200;
const MAX_JOBS_PER_COMMIT = 32;

/** Runs the jobs of one partition: hands out their items, collects results and commits checkpoints. */
export class PartitionOwner {
    private readonly opts: PartitionOwnerOptions;
    private readonly committer: ProgressCommitter;
    private readonly runs = new Map<JobId, JobRun>();
    private readonly advancing = new Set<JobId>();
    private readonly opening = new Set<JobId>();
    private readonly stopping = new AbortController();
    private committing: Promise<void> = Promise.resolve();
    private isHandingOver = false;
    private lastCommitAtMs = Number.NEGATIVE_INFINITY;
    private writeCount = 0;
    private loop: Promise<void> | undefined;

    constructor(opts: PartitionOwnerOptions) {
        this.opts = opts;
        this.committer = new ProgressCommitter(opts);
    }

    start(): void {
        this.loop ??= this.loopUntilStopped();
    }

    /** Stops without committing the remaining results. */
    async stop(): Promise<void> {
        this.stopping.abort();
        await this.loop;
        await this.committing;
    }

    /** Commits all results and the list of items that gates hold, for the next owner. */
    async handOver(): Promise<void> {
        this.isHandingOver = true;
        const remaining = this.jobs();
        while (remaining.length > 0) {
            const group = remaining.splice(0, MAX_JOBS_PER_COMMIT);
            await this.checkpoint(run => group.includes(run));
        }
    }

    jobs(): JobRun[] {
        return [...this.runs.values()];
    }

    job(jobId: JobId): JobRun | undefined {
        return this.runs.get(jobId);
    }

    /** Yields the uncommitted results in groups, to be reported to another owner. */
    async *uncommittedResults(): AsyncIterable<BatchResult[]> {
        for (const run of this.jobs()) {
            yield* run.buffer.uncommittedResults(run.manifest.jobId);
        }
    }

    /** Starts open jobs of this partition that are not running yet and reloads those that were cancelled. */
    async syncOpenJobs(openJobs: OpenJob[]): Promise<void> {
        await Promise.all(openJobs.map(async open => {
            const run = this.runs.get(open.jobId);
            if (run === undefined) {
                await this.open(open.jobId);
            }
            else if (open.cancelled && run.progress.state !== "cancelling" && !jobChart.isFinal(run.progress.state)) {
                await this.committer.reload(run);
            }
        }));
    }

    /** Rereads the records of all jobs after the partition was reacquired. */
    async reloadAll(): Promise<void> {
        await Promise.all(this.jobs().map(run => this.committer.reload(run)));
    }

    /**
     * Records results of one job. Waits for the commit if any of the items is claimed.
     *
     * @returns how many results are accepted; if fewer than given, the gate reports them again
     */
    async report(jobId: JobId, results: BatchResult[], peer: PeerIdentity): Promise<number> {
        const run = this.runs.get(jobId);
        if (run === undefined) {
            return await this.needsNoResults(jobId) ? results.length : 0;
        }
        const hasClaims = results.some(result => run.isClaimed(result.itemIndex));
        for (const result of results) {
            await run.report(result, peer);
        }
        if (hasClaims) {
            return await this.checkpoint(candidate => candidate === run) ? results.length : 0;
        }
        if (run.buffer.isFull) {
            await run.buffer.seal().catch(error => this.warn("results-store-failed", error));
        }
        return results.length;
    }

    /**
     * Commits the due jobs, at most MAX_JOBS_PER_COMMIT at a time. Concurrent calls run one after another.
     *
     * @returns whether the commit took effect; true if no job is due
     */
    async checkpoint(isDue: (run: JobRun) => boolean): Promise<boolean> {
        const commit = this.committing.then(() => this.commitDueJobs(isDue));
        this.committing = commit.then(() => undefined, () => undefined);
        return await commit;
    }

    private async loopUntilStopped(): Promise<void> {
        const { clock, random } = this.opts;
        while (!this.stopping.signal.aborted) {
            await this.tick().catch(error => this.warn("partition-tick-failed", error));
            await sleep(clock, TICK_MS * (0.75 + random.next() / 2), this.stopping.signal);
        }
    }

    private async tick(): Promise<void> {
        const nowMs = this.opts.clock.nowMs();
        for (const run of this.jobs()) {
            findLostItems({ nowMs, inFlightItems: run.inFlightItems, peers: this.opts.peers() })
                .forEach(lost => run.fail(lost.index, lost.attempt));
            await run.settleOrphans().catch(error => this.warn("orphans-settle-failed", error));
            await run.refill().catch(error => this.warn("items-read-failed", error));
            this.advance(run);
        }
        await this.checkpoint(run => run.hasAllResults || this.isDue(run));
    }

    private isDue(run: JobRun): boolean {
        return isCheckpointDue({
            nowMs: this.opts.clock.nowMs(),
            startedAtMs: run.progress.startedAtMs ?? this.opts.clock.nowMs(),
            totalCount: run.progress.totalCount,
            uncommittedCount: run.buffer.uncommittedCount,
            oldestAtMs: run.oldestUncommittedAtMs,
        });
    }

    private async commitDueJobs(isDue: (run: JobRun) => boolean): Promise<boolean> {
        const due = this.jobs()
            .filter(run => run.progress.state === "in_progress" && isDue(run))
            .slice(0, MAX_JOBS_PER_COMMIT);
        const owned = this.opts.owned();
        if (due.length === 0 || owned === undefined) {
            return due.length === 0;
        }
        const { clock, commitIntervalMs } = this.opts;
        await sleep(clock, this.lastCommitAtMs + commitIntervalMs - clock.nowMs());
        await Promise.all(due.map(run => run.buffer.seal()));
        this.lastCommitAtMs = clock.nowMs();
        due.forEach(run => run.dropOverlappingSegments());
        const writes = due.map(run => ({
            run,
            baseRevision: run.modRevision,
            operations: [],
            progress: planCheckpoint({
                progress: run.progress,
                sealed: run.buffer.sealedSegments,
                claims: run.pendingClaims,
                histories: run.histories(),
                handedOut: this.isHandingOver ? run.handedOut() : [],
                writeId: this.createWriteId(),
            }),
        }));
        return await this.committer.commit(writes);
    }

    /** Starts the next step of a job that is validating, finalizing or cancelling, without waiting for it. */
    private advance(run: JobRun): void {
        const { jobId } = run.manifest;
        const step = this.nextStepOf(run);
        if (step === undefined || this.advancing.has(jobId)) {
            return;
        }
        this.advancing.add(jobId);
        step.catch(error => this.warn("job-advance-failed", error)).finally(() => this.advancing.delete(jobId));
    }

    private nextStepOf(run: JobRun): Promise<void> | undefined {
        if (this.advancing.has(run.manifest.jobId)) {
            return undefined;
        }
        switch (run.progress.state) {
            case "validating":
                return this.validate(run);
            case "finalizing":
            case "cancelling":
                return this.finalize(run);
            default:
                return undefined;
        }
    }

    private async validate(run: JobRun): Promise<void> {
        const { manifest, progress, modRevision: baseRevision } = run;
        const { itemCount, errors } = await validateInput(
            readLines(this.opts.segmentStore, manifest.input),
            manifest.endpoint,
        );
        const nowMs = this.opts.clock.nowMs();
        const isRejected = errors.length > 0;
        const next: JobProgress = {
            ...progress,
            state: jobChart.next(progress.state, isRejected ? "refused" : "validated"),
            writeId: this.createWriteId(),
            totalCount: itemCount,
            startedAtMs: nowMs,
            finishedAtMs: isRejected ? nowMs : undefined,
            errors,
        };
        const open = { kind: "delete" as const, key: batchKeys.openJob(manifest.jobId) };
        await this.committer.commit([{ run, baseRevision, progress: next, operations: isRejected ? [open] : [] }]);
        this.removeIfFinal(run);
    }

    private async finalize(run: JobRun): Promise<void> {
        const { manifest, progress, modRevision: baseRevision } = run;
        if (progress.state === "cancelling") {
            this.opts.notifyCancelled(manifest.jobId);
        }
        if (this.opts.owned() === undefined) {
            return;
        }
        const write = await finalizeJob({
            ...this.opts,
            manifest,
            progress,
            baseRevision,
            writeId: this.createWriteId(),
        });
        await this.committer.commit([{ run, ...write }]);
        this.removeIfFinal(run);
    }

    private removeIfFinal(run: JobRun): void {
        if (jobChart.isFinal(run.progress.state)) {
            this.runs.delete(run.manifest.jobId);
            this.opts.logger.info("job-finished", { jobId: run.manifest.jobId, state: run.progress.state });
            this.opts.metrics.increment("batch.job_finished", { state: run.progress.state });
        }
    }

    private async open(jobId: JobId): Promise<void> {
        if (this.opening.has(jobId)) {
            return;
        }
        this.opening.add(jobId);
        try {
            const manifest = await readRecord<JobManifest>(this.opts.keyValue, batchKeys.manifest(jobId));
            const progress = await readRecord<JobProgress>(this.opts.keyValue, batchKeys.progress(jobId));
            if (manifest !== undefined && progress !== undefined && !jobChart.isFinal(progress.value.state)) {
                this.runs.set(jobId, new JobRun({ ...this.opts, manifest: manifest.value, progress }));
            }
        }
        finally {
            this.opening.delete(jobId);
        }
    }

    /** Returns whether results of the job are not needed: its record is absent or not in progress. */
    private async needsNoResults(jobId: JobId): Promise<boolean> {
        const progress = await readRecord<JobProgress>(this.opts.keyValue, batchKeys.progress(jobId));
        return progress === undefined || progress.value.state !== "in_progress";
    }

    private createWriteId(): string {
        const { instanceId, partitionId, clock } = this.opts;
        return `${instanceId}-${partitionId}-${clock.nowMs()}-${this.writeCount++}`;
    }

    private warn(event: string, error: unknown): void {
        const { code, message } = toKnapweedError(error);
        this.opts.logger.warn(event, { partitionId: this.opts.partitionId, code, message });
    }
}
