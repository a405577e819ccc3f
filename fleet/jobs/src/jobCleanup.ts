import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import type { FencedLeadership } from "@knapweedwood/fleet.sync/fencedLeadership";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { CLOCK_MARGIN_MS } from "./clockMarginMs.js";
import { isSameTokenGroup } from "./isSameTokenGroup.js";
import { jobKeys } from "./jobKeys.js";
import type { JobTable } from "./jobTable.js";
import type { OpenJob } from "./openJob.js";
import { releaseWaitingTokens } from "./releaseWaitingTokens.js";
import type { Tombstone } from "./tombstone.js";
import { TombstoneSweep } from "./tombstoneSweep.js";

/** Keys removed by one write; the key-value service accepts 32 entries, of which one is the fence. */
const MAX_REMOVALS = 31;

interface JobCleanupOptions {
    clock: Clock;
    service: SnapshotKeyValueService;
    logger: Logger;
    leadership: FencedLeadership;
    table: JobTable;
    /** Returns how long an ended job stays readable after its acceptance, in milliseconds. */
    resultRetentionMs: () => number;
}

/** Cleans up ended jobs: releases their waiting tokens, and removes the jobs after their retention time. */
export class JobCleanup {
    private readonly opts: JobCleanupOptions;
    /** Ended jobs whose tokens may still count as waiting. */
    private readonly unreleased = new Set<OpenJob>();
    private readonly tombstones: TombstoneSweep;
    private isRunning = false;

    constructor(opts: JobCleanupOptions) {
        this.opts = opts;
        this.tombstones = new TombstoneSweep(opts);
    }

    /** Records that a job has ended. */
    onEnded(job: OpenJob): void {
        this.unreleased.add(job);
    }

    /** Drops the pending work after leadership was lost. The next leader finds it again. */
    reset(): void {
        this.unreleased.clear();
        this.tombstones.reset();
    }

    /** Performs the pending cleanup. A failed step is repeated by a later run. */
    async run(): Promise<void> {
        if (this.isRunning || !this.opts.leadership.isLeading()) {
            return;
        }
        this.isRunning = true;
        try {
            await this.releaseTokens();
            await this.removeExpired();
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.debug("job-sweep-failed", { code: error.code, message: error.message });
        }
        finally {
            this.isRunning = false;
        }
    }

    private async releaseTokens(): Promise<void> {
        const pending = [...this.unreleased];
        while (pending.length > 0) {
            const group = pending[0]!.record;
            const jobs = pending.filter(({ record }) => isSameTokenGroup(record, group));
            pending.splice(0, pending.length, ...pending.filter(job => !jobs.includes(job)));
            await releaseWaitingTokens(this.opts.service, group, jobs.map(job => job.record.jobId));
            jobs.forEach(job => this.unreleased.delete(job));
        }
    }

    private async removeExpired(): Promise<void> {
        const expiredBeforeMs = this.opts.clock.nowMs() - this.opts.resultRetentionMs() - CLOCK_MARGIN_MS;
        // No later leader knows a removed job whose tokens still count. A job may have ended since `releaseTokens`.
        const expired = this.opts.table.all().find(job =>
            job.isEnded && !this.unreleased.has(job) && job.record.acceptedAtMs < expiredBeforeMs
        );
        const fence = this.opts.leadership.fence();
        if (expired !== undefined && fence !== undefined) {
            await this.remove(expired, fence);
        }
    }

    private async remove(job: OpenJob, fence: KeyValueCompare): Promise<void> {
        const { jobId } = job.record;
        const results = await this.opts.service.snapshot(jobKeys.jobResultsPrefix(jobId));
        const parts = await this.opts.service.snapshot(jobKeys.jobPrefix(jobId));
        // An interrupted removal starts again while the record exists. Until then the list of results and the cancellation
        // keep the job ended.
        const lastKeys: string[] = [jobKeys.listedItems(jobId), jobKeys.cancellation(jobId), jobKeys.record(jobId)];
        const keys = [...results.entries, ...parts.entries].map(entry => entry.key);
        await this.removeKeys(keys.filter(key => !lastKeys.includes(key)), fence);
        const last: KeyValueOperation[] = [
            ...lastKeys.filter(key => keys.includes(key)).map(toRemoval),
            { kind: "put", key: jobKeys.tombstone(jobId), value: encodeRecord(this.createTombstone(job)) },
            ...await this.tombstones.operations(),
        ];
        const revision = await this.write(last, fence);
        this.tombstones.onWritten(last);
        this.opts.table.delete(jobId, revision);
        this.opts.logger.info("job-removed", { jobId, keys: keys.length });
    }

    private createTombstone({ record: { team } }: OpenJob): Tombstone {
        return { removedAtMs: this.opts.clock.nowMs(), ...team === undefined ? {} : { team } };
    }

    private async removeKeys(keys: readonly string[], fence: KeyValueCompare): Promise<void> {
        for (let start = 0; start < keys.length; start += MAX_REMOVALS) {
            await this.write(keys.slice(start, start + MAX_REMOVALS).map(toRemoval), fence);
        }
    }

    /**
     * Writes under the fence of this leadership. Rejects with `JOB_REMOVAL_REFUSED` if another process leads, which ends this
     * process's leadership.
     *
     * @returns revision of the write
     */
    private async write(operations: KeyValueOperation[], fence: KeyValueCompare): Promise<number> {
        const { succeeded, revision } = await this.opts.service.transact([fence], operations);
        if (!succeeded) {
            this.opts.leadership.stepDown(fence, "write-refused");
            throw new KnapweedError("JOB_REMOVAL_REFUSED", "Another process leads", { outcome: "not-run" });
        }
        return revision;
    }
}

function toRemoval(key: string): KeyValueOperation {
    return { kind: "delete", key };
}
