import type { FolderSegmentStore } from "@knapweedwood/batch.segments/folderSegmentStore";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { settleTransaction } from "@knapweedwood/core.key-value/settleTransaction";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { Packr } from "msgpackr";
import { countJobTokens } from "./countJobTokens.js";
import type { HeldJob } from "./heldJob.js";
import { jobKeys } from "./jobKeys.js";
import { planJobWrite } from "./planJobWrite.js";

/** Minimum pause between attempts to write held jobs to the key-value service, in milliseconds. */
const WRITE_INTERVAL_MS = 250;
/** Attempts to write one job while other writes change the waiting tokens of its route. */
const MAX_CONFLICTS = 8;

interface HeldJobsOptions {
    segments: FolderSegmentStore;
    service: KeyValueService;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Called with each held job, so that it can run before it is written. */
    onHeld: (job: HeldJob) => void;
}

/** The jobs held on this instance's disk until they are written to the key-value service. */
export class HeldJobs {
    private readonly opts: HeldJobsOptions;
    private readonly packr = new Packr({ useRecords: false });
    private readonly jobs = new Map<SegmentDigest, HeldJob>();
    private pendingHolds = 0;

    constructor(opts: HeldJobsOptions) {
        this.opts = opts;
    }

    /** Number of held jobs, including those still being written to disk. */
    get count(): number {
        return this.jobs.size + this.pendingHolds;
    }

    all(): HeldJob[] {
        return [...this.jobs.values()];
    }

    has(jobId: JobId): boolean {
        return this.all().some(job => job.record.jobId === jobId);
    }

    /** Returns the tokens of all jobs of a route held here, without those of `exceptJobId`. */
    waitingTokens(routeName: string, exceptJobId: JobId): number {
        return this.all()
            .filter(({ record }) => record.routeName === routeName && record.jobId !== exceptJobId)
            .reduce((sum, { record }) => sum + countJobTokens(record), 0);
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
        this.pendingHolds += 1;
        try {
            const digest = await this.opts.segments.put(this.packr.pack(job));
            this.jobs.set(digest, job);
        }
        finally {
            this.pendingHolds -= 1;
        }
        this.opts.logger.info("job-held", { jobId: job.record.jobId });
        this.opts.onHeld(job);
    }

    private async load(): Promise<void> {
        await this.opts.segments.prepare();
        for (const digest of await this.opts.segments.list()) {
            try {
                const job = this.packr.unpack(await this.opts.segments.get(digest)) as HeldJob;
                this.jobs.set(digest, job);
                this.opts.onHeld(job);
            }
            catch (thrown) {
                this.opts.logger.warn("held-job-unreadable", { digest, code: toKnapweedError(thrown).code });
            }
        }
    }

    private async writeAll(): Promise<void> {
        for (const [digest, job] of this.jobs) {
            try {
                await this.write(job);
                await this.opts.segments.remove(digest);
                this.jobs.delete(digest);
                this.opts.logger.info("held-job-written", { jobId: job.record.jobId });
            }
            catch (thrown) {
                const error = toKnapweedError(thrown);
                this.opts.logger.debug("held-job-kept", { jobId: job.record.jobId, code: error.code });
                return;
            }
        }
    }

    /** Writes the job unless it is already stored. Rejects if the outcome is uncertain. */
    private async write(job: HeldJob): Promise<void> {
        const { service, clock } = this.opts;
        const recordKey = jobKeys.record(job.record.jobId);
        for (let conflicts = 0; conflicts < MAX_CONFLICTS; conflicts += 1) {
            if (await service.get(recordKey) !== undefined) {
                return;
            }
            const waitingTokensEntry = await service.get(jobKeys.waitingTokens(job.record.routeName));
            const { compares, operations } = planJobWrite(job, waitingTokensEntry);
            const result = await settleTransaction({ service, clock, compares, operations, witnessKey: recordKey });
            if (result.kind === "succeeded") {
                return;
            }
        }
        throw new KnapweedError("JOB_UNSETTLED", "Every attempt to store the job conflicted with another write", {
            outcome: "unknown",
        });
    }
}
