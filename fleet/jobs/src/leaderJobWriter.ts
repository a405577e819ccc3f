import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { settleTransaction } from "@knapweedwood/core.key-value/settleTransaction";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { HeldJob } from "./heldJob.js";
import { jobKeys } from "./jobKeys.js";
import type { JobRecord } from "./jobRecord.js";
import type { LeaderWriteOutcome } from "./leaderWriteOutcome.js";
import { mayAccessJob } from "./mayAccessJob.js";
import { planJobWrite } from "./planJobWrite.js";
import type { WaitingTokens } from "./waitingTokens.js";

/** Attempts to write one job while other writes change the waiting tokens of its route. */
const MAX_CONFLICTS = 8;

interface LeaderJobWriterOptions {
    service: KeyValueService;
    clock: Clock;
    logger: Logger;
    /** Returns the compare that fails once another process leads; undefined while this process doesn't lead. */
    fence: () => KeyValueCompare | undefined;
    /**
     * Returns the waiting tokens of the job's route that the leader knows of, without those of the job and of `counted`,
     * the jobs in the stored count; undefined unless the leader knows all jobs.
     */
    uncountedTokens: (job: HeldJob, counted: ReadonlySet<JobId>) => number | undefined;
}

/**
 * Writes jobs of routes with a limit for gateways that can't. The write compares the stored count, so that jobs written by
 * gateways at the same time are counted, and the leader's key, since a replaced leader may lack held jobs.
 */
export class LeaderJobWriter {
    private readonly opts: LeaderJobWriterOptions;

    constructor(opts: LeaderJobWriterOptions) {
        this.opts = opts;
    }

    /** Writes the job if it fits. A job that is stored, or was removed, counts as written. */
    async write(job: HeldJob): Promise<LeaderWriteOutcome> {
        try {
            for (let conflicts = 0; conflicts < MAX_CONFLICTS; conflicts += 1) {
                const outcome = await this.writeOnce(job);
                if (outcome !== undefined) {
                    return outcome;
                }
            }
        }
        catch (thrown) {
            // Reads have no effect, and a transaction that may have one doesn't reject.
            const { code } = toKnapweedError(thrown);
            this.opts.logger.info("leader-write-failed", { jobId: job.record.jobId, code });
        }
        return "not-run";
    }

    /** @returns undefined if the count has changed in the meantime and the write has to be repeated */
    private async writeOnce(job: HeldJob): Promise<LeaderWriteOutcome | undefined> {
        const { service, clock, fence } = this.opts;
        const { record, maxWaitingTokens } = job;
        const recordKey = jobKeys.record(record.jobId);
        const entry = await service.get(jobKeys.waitingTokens(record.routeName, record.team));
        const plan = planJobWrite(job, entry, service.maxValueSizeBytes);
        const leaderKey = fence();
        const uncounted = this.opts.uncountedTokens(job, countedIn(entry));
        if (leaderKey === undefined || uncounted === undefined) {
            return "not-run";
        }
        if (plan.waitingTokens + uncounted > (maxWaitingTokens ?? Infinity)) {
            const existing = await service.get(recordKey);
            return existing === undefined ? "over-limit" : outcomeOfExisting(existing, record);
        }
        const compares = [...plan.compares, leaderKey];
        const { operations } = plan;
        const result = await settleTransaction({ service, clock, compares, operations, witnessKey: recordKey });
        if (result.kind === "failed") {
            return outcomeOfFailure(result.current, record, leaderKey);
        }
        return result.kind === "succeeded" ? "stored" : "unknown";
    }
}

function countedIn(entry: KeyValueEntry | undefined): ReadonlySet<JobId> {
    const jobs = entry === undefined ? [] : decodeRecord<WaitingTokens>(entry.value).jobs;
    return new Set(jobs.map(({ jobId }) => jobId));
}

/** @param existing the record or tombstone of a job with this id, which another team may have submitted */
function outcomeOfExisting(existing: KeyValueEntry, { team }: JobRecord): LeaderWriteOutcome {
    const isOfTeam = mayAccessJob(
        decodeRecord<Pick<JobRecord, "team">>(existing.value),
        team === undefined ? {} : { team },
    );
    return isOfTeam ? "stored" : "not-run";
}

/** @returns undefined if only the count has changed */
function outcomeOfFailure(
    current: readonly KeyValueEntry[],
    record: JobRecord,
    leaderKey: KeyValueCompare,
): LeaderWriteOutcome | undefined {
    const jobOwnKeys: string[] = [jobKeys.record(record.jobId), jobKeys.tombstone(record.jobId)];
    const existing = current.find(({ key }) => jobOwnKeys.includes(key));
    if (existing !== undefined) {
        return outcomeOfExisting(existing, record);
    }
    const isStillLeader = current.some(({ key, modRevision }) =>
        key === leaderKey.key && modRevision === leaderKey.modRevision
    );
    return isStillLeader ? undefined : "not-run";
}
