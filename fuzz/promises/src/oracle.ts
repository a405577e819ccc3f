import { batchKeys } from "@knapweedwood/batch.jobs/batchKeys";
import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import { partitionOf } from "@knapweedwood/batch.jobs/partitionOf";
import { partitionKeys } from "@knapweedwood/batch.ownership/partitionKeys";
import { readRecord } from "@knapweedwood/batch.records/readRecord";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { checkProgress } from "./checkProgress.js";
import type { JobSnapshot } from "./jobSnapshot.js";
import type { KeyedCall } from "./keyedCall.js";
import { promiseViolation } from "./promiseViolation.js";
import type { SimulationPlatform } from "./simulationPlatform.js";
import type { Submission } from "./submission.js";

const PARTITION_COUNT = 2;
const MAX_CANCEL_DELAY_MS = 2000;
/** A side may still finish an item that it was running when the job was cancelled. */
const MAX_ITEM_RUN_MS = 400;

/** Records the promises made to callers, and compares them with the upstreams' history and the stored state. */
export class Oracle {
    readonly submissions: Submission[] = [];
    readonly keyedCalls: KeyedCall[] = [];
    /** Simulated time until which faults may have effects. No time limit applies to a cancel before it. */
    faultsUntilMs = 0;
    private readonly platform: SimulationPlatform;
    private readonly snapshots = new Map<JobId, JobSnapshot>();
    private violation: unknown;

    constructor(platform: SimulationPlatform) {
        this.platform = platform;
    }

    /** Records a violation found between checks. The next check rejects with the first one recorded. */
    recordViolation(violation: unknown): void {
        this.violation ??= violation;
    }

    /**
     * Checks the promises that hold at any time. Rejects with the first violation.
     *
     * During an outage of the key-value service, the stored progress of jobs isn't checked.
     */
    async check(): Promise<void> {
        if (this.violation !== undefined) {
            throw this.violation;
        }
        this.checkExecutions();
        this.checkCancels();
        const { faults } = this.platform.keyValue;
        if (faults.outage) {
            return;
        }
        const { delayMs } = faults;
        faults.delayMs = 0;
        try {
            await Promise.all(
                this.acknowledgedSubmissions().map(submission => this.checkJob(submission.jobId as JobId)),
            );
        }
        finally {
            faults.delayMs = delayMs;
        }
    }

    /** Returns the submissions whose job was acknowledged to the caller. */
    acknowledgedSubmissions(): Submission[] {
        return this.submissions.filter(submission => submission.jobId !== undefined);
    }

    /** Records the job acknowledged for a submission. A second, different job id is a violation. */
    recordAcknowledgement(submission: Submission, jobId: JobId): void {
        if (submission.jobId !== undefined && submission.jobId !== jobId) {
            this.recordViolation(promiseViolation("a resend gives the same job", { jobId, earlier: submission.jobId }));
        }
        submission.jobId ??= jobId;
    }

    private checkExecutions(): void {
        const counts = new Map<string, number>();
        this.platform.upstreams.allExecutions()
            .filter(execution => !execution.repeatable)
            .forEach(execution => counts.set(execution.call, (counts.get(execution.call) ?? 0) + 1));
        const repeated = [...counts].filter(([, count]) => count > 1);
        if (repeated.length > 0) {
            throw promiseViolation("a call that may not be repeated runs at most once", repeated);
        }
    }

    private checkCancels(): void {
        this.acknowledgedSubmissions().forEach(({ jobId, cancelledAtMs }) => {
            if (cancelledAtMs === undefined || cancelledAtMs < this.faultsUntilMs) {
                return;
            }
            const limitMs = cancelledAtMs + MAX_CANCEL_DELAY_MS + MAX_ITEM_RUN_MS;
            const lastChunkAtMs = this.platform.upstreams.lastChunkAtMs(jobId ?? "") ?? 0;
            if (lastChunkAtMs > limitMs) {
                throw promiseViolation("a cancelled job's streams end", { jobId, cancelledAtMs, lastChunkAtMs });
            }
            const late = this.platform.upstreams.allExecutions()
                .filter(execution => execution.call.startsWith(`${jobId}/`) && execution.atMs > limitMs);
            if (late.length > 0) {
                throw promiseViolation("a cancelled job stops", { jobId, cancelledAtMs, late: late[0] });
            }
        });
    }

    private async checkJob(jobId: JobId): Promise<void> {
        const { keyValue } = this.platform;
        const fencingKey = partitionKeys.fencing("batch", partitionOf(jobId, PARTITION_COUNT));
        const progress = await readRecord<JobProgress>(keyValue, batchKeys.progress(jobId));
        const fencing = await readRecord<{ fencingNumber: number; }>(keyValue, fencingKey);
        if (progress === undefined) {
            throw promiseViolation("an accepted job stays", { jobId });
        }
        checkProgress(jobId, this.snapshots.get(jobId), progress.value);
        const partitionFencingNumber = fencing?.value.fencingNumber ?? 0;
        this.snapshots.set(jobId, { progress: progress.value, partitionFencingNumber });
    }
}
