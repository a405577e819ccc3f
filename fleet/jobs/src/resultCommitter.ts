import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { isInvalidCall } from "@knapweedwood/core.key-value/isInvalidCall";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { settleTransaction } from "@knapweedwood/core.key-value/settleTransaction";
import type { FencedLeadership } from "@knapweedwood/fleet.sync/fencedLeadership";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { ItemResult } from "./itemResult.js";
import { jobKeys } from "./jobKeys.js";
import type { OpenJob } from "./openJob.js";
import type { PendingResult } from "./pendingResult.js";
import { ResultBatch } from "./resultBatch.js";

/** Number of pending results that are written without waiting for more. */
const FULL_BATCH_RESULTS = 28;
const RETRY_DELAY_MS = 250;
/** Time for which results are gathered into one write, in milliseconds. Callers ask for results twice a second. */
const GATHER_MS = 150;

/** Writes results one batch at a time. A result counts once it is written. */
export class ResultCommitter {
    private readonly opts: {
        service: KeyValueService;
        clock: Clock;
        logger: Logger;
        leadership: FencedLeadership;
        onResultsStored: (job: OpenJob) => void;
    };
    private pending: PendingResult[] = [];
    private isWriting = false;
    private gatherTimer: Timer | undefined;

    constructor(opts: {
        service: KeyValueService;
        clock: Clock;
        logger: Logger;
        leadership: FencedLeadership;
        onResultsStored: (job: OpenJob) => void;
    }) {
        this.opts = opts;
    }

    add(job: OpenJob, result: ItemResult): void {
        this.pending.push({ job, result });
        if (this.pending.length >= FULL_BATCH_RESULTS) {
            void this.writePending();
            return;
        }
        this.gatherTimer ??= this.opts.clock.setTimer(GATHER_MS, () => void this.writePending());
    }

    /** Drops unwritten results, because this process has lost leadership. */
    reset(): void {
        this.pending = [];
    }

    /** Resolves when all results are written, or at once if this process is not the leader. */
    async flush(): Promise<void> {
        while (this.pending.length > 0 && this.opts.leadership.fence() !== undefined) {
            await this.writePending();
            await sleep(this.opts.clock, 10);
        }
    }

    private async writePending(): Promise<void> {
        this.gatherTimer?.cancel();
        this.gatherTimer = undefined;
        if (this.isWriting) {
            return;
        }
        this.isWriting = true;
        try {
            for (let fence = this.fenceIfPending(); fence !== undefined; fence = this.fenceIfPending()) {
                await this.writeBatch(this.takeBatch(fence), fence);
            }
        }
        finally {
            this.isWriting = false;
        }
    }

    private fenceIfPending(): KeyValueCompare | undefined {
        return this.pending.length > 0 ? this.opts.leadership.fence() : undefined;
    }

    /** Takes the oldest results that fit one write from the pending ones. */
    private takeBatch(fence: KeyValueCompare): ResultBatch {
        const listed = this.pending.filter(({ job, result }) => job.item(result.itemId)?.state === "stored");
        listed.forEach(dropped => this.logDropped(dropped));
        const unlisted = this.pending.filter(pending => !listed.includes(pending));
        const batch = new ResultBatch(fence);
        const candidates = unlisted[0]?.isAlone === true ? unlisted.slice(0, 1) : unlisted;
        const firstLeft = candidates.findIndex(pending => !batch.add(pending));
        this.pending = unlisted.slice(firstLeft < 0 ? candidates.length : firstLeft);
        return batch;
    }

    private logDropped({ job, result: { itemId, state } }: PendingResult): void {
        this.opts.logger.error("result-dropped", { jobId: job.record.jobId, itemId, state });
    }

    /** Repeats the write until it succeeds or the leadership under which its positions were assigned is lost. */
    private async writeBatch(batch: ResultBatch, fence: KeyValueCompare): Promise<void> {
        const { compares, operations, jobs } = batch;
        if (jobs.length === 0) {
            return;
        }
        const witnessKey = jobKeys.listedItems(jobs[0]!.record.jobId);
        const isStillLeading = () => this.opts.leadership.fence()?.modRevision === fence.modRevision;
        while (isStillLeading()) {
            try {
                const { service, clock } = this.opts;
                const settled = await settleTransaction({ service, clock, compares, operations, witnessKey });
                if (settled.kind === "failed") {
                    this.opts.leadership.stepDown(fence, "write-refused");
                }
                if (settled.kind === "succeeded" && isStillLeading()) {
                    this.onStored(batch, settled.revision);
                    return;
                }
            }
            catch (thrown) {
                const error = toKnapweedError(thrown);
                this.opts.logger.debug("result-write-failed", { code: error.code, message: error.message });
                if (isInvalidCall(error)) {
                    this.onRejected(batch, error);
                    return;
                }
            }
            await sleep(this.opts.clock, RETRY_DELAY_MS);
        }
    }

    /**
     * Writes the results of a rejected write one by one. An item whose result is rejected by itself is given up, since the
     * service would reject the same result again.
     */
    private onRejected(batch: ResultBatch, { code, message }: KnapweedError): void {
        const { results } = batch;
        const isAlone = results.length === 1;
        const jobIds = batch.jobs.map(job => job.record.jobId);
        this.opts.logger.error("results-rejected", { jobIds, results: results.length, code, message });
        const retried = isAlone ? results.filter(({ result }) => result.state === "completed") : results;
        results.filter(pending => !retried.includes(pending)).forEach(dropped => this.logDropped(dropped));
        const left = retried.map(({ job, result }): PendingResult => ({
            job,
            result: isAlone ? { itemId: result.itemId, state: "given-up", output: "" } : result,
            isAlone: true,
        }));
        this.pending = [...left, ...this.pending];
    }

    private onStored(batch: ResultBatch, revision: number): void {
        batch.results.forEach(({ job, result, position }) => {
            job.addResult(position, result);
            this.opts.logger.info("item-listed", {
                jobId: job.record.jobId,
                itemId: result.itemId,
                state: result.state,
                position,
            });
        });
        batch.jobs.forEach(job => {
            job.listRevision = revision;
            this.opts.onResultsStored(job);
        });
    }
}
