import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Timer } from "@knapweedwood/core.clock/timer";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { settleTransaction } from "@knapweedwood/core.key-value/settleTransaction";
import type { FencedLeadership } from "@knapweedwood/fleet.sync/fencedLeadership";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { ItemResult } from "./itemResult.js";
import { jobKeys } from "./jobKeys.js";
import type { OpenJob } from "./openJob.js";

/** Results per write; the key-value service accepts 32 entries. */
const MAX_RESULTS = 30;
/** Maximum total output per write, in characters. */
const MAX_WRITE_LENGTH = 500_000;
const RETRY_DELAY_MS = 250;
/** Time for which results are gathered into one write, in milliseconds. Callers ask for results twice a second. */
const GATHER_MS = 150;

interface PendingResult {
    job: OpenJob;
    result: ItemResult;
}

interface PositionedResult extends PendingResult {
    position: number;
}

/** Writes results one batch at a time, guarded by the leader's fencing number. A result counts once it is written. */
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
        if (this.pending.length >= MAX_RESULTS) {
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
            while (this.pending.length > 0 && this.opts.leadership.fence() !== undefined) {
                await this.writeBatch(this.takeBatch());
            }
        }
        finally {
            this.isWriting = false;
        }
    }

    private takeBatch(): PositionedResult[] {
        let length = 0;
        const batch = this.pending.slice(0, MAX_RESULTS).filter(({ result }, index) => {
            length += result.output.length;
            return index === 0 || length <= MAX_WRITE_LENGTH;
        });
        this.pending = this.pending.slice(batch.length);
        return batch.map((pending, index) => ({
            ...pending,
            position: pending.job.resultCount
                + batch.slice(0, index).filter(other => other.job === pending.job).length,
        }));
    }

    /** Repeats the write until it succeeds or the leadership under which its positions were assigned is lost. */
    private async writeBatch(batch: PositionedResult[]): Promise<void> {
        const fence = this.opts.leadership.fence();
        const operations: KeyValueOperation[] = batch.map(({ job, result, position }) => ({
            kind: "put",
            key: jobKeys.result(job.record.jobId, position),
            value: encodeRecord(result),
        }));
        const witnessKey = operations[0]!.key;
        while (fence !== undefined && this.opts.leadership.fence()?.modRevision === fence.modRevision) {
            try {
                const settled = await settleTransaction({
                    service: this.opts.service,
                    clock: this.opts.clock,
                    compares: [fence, { key: witnessKey, modRevision: 0 }],
                    operations,
                    witnessKey,
                });
                if (settled.kind === "failed") {
                    this.opts.leadership.stepDown("write-refused");
                }
                if (settled.kind === "succeeded" && this.opts.leadership.fence()?.modRevision === fence.modRevision) {
                    this.onStored(batch);
                    return;
                }
            }
            catch (thrown) {
                const error = toKnapweedError(thrown);
                this.opts.logger.debug("result-write-failed", { code: error.code, message: error.message });
            }
            await sleep(this.opts.clock, RETRY_DELAY_MS);
        }
    }

    private onStored(batch: PositionedResult[]): void {
        batch.forEach(({ job, result, position }) => {
            job.addResult(position, result);
            this.opts.logger.info("item-listed", {
                jobId: job.record.jobId,
                itemId: result.itemId,
                state: result.state,
                position,
            });
        });
        [...new Set(batch.map(({ job }) => job))].forEach(job => this.opts.onResultsStored(job));
    }
}
