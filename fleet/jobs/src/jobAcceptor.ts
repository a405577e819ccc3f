import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { isInvalidCall } from "@knapweedwood/core.key-value/isInvalidCall";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { settleTransaction } from "@knapweedwood/core.key-value/settleTransaction";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Acceptance } from "./acceptance.js";
import { assertJobStorable } from "./assertJobStorable.js";
import { assertSubmissionValid } from "./assertSubmissionValid.js";
import { createSubmittedJob } from "./createSubmittedJob.js";
import type { HoldOutcome } from "./holdOutcome.js";
import type { JobCaller } from "./jobCaller.js";
import type { JobHolder } from "./jobHolder.js";
import { jobKeys } from "./jobKeys.js";
import type { JobRecord } from "./jobRecord.js";
import type { JobSubmission } from "./jobSubmission.js";
import { mayAccessJob } from "./mayAccessJob.js";
import { planJobWrite } from "./planJobWrite.js";

const MAX_CONFLICTS = 6;
const RETRY_AFTER_MS = 700;
/** Time after which a job whose write is still pending is also held on disks, in milliseconds. */
const HOLD_AFTER_MS = 200;

interface JobAcceptorOptions {
    service: KeyValueService;
    clock: Clock;
    logger: Logger;
    /** Holds jobs while the key-value service is unavailable. */
    holder: JobHolder;
    /** Whether jobs held during an outage have had time to be written. */
    areHeldJobsWritten: () => boolean;
    /** Whether a job of the caller exists that may only be held on disks; rejects if that is uncertain. */
    isKnownToLeader: (jobId: JobId, caller: JobCaller | undefined) => Promise<boolean>;
    /** Whether the stored count of waiting tokens contains all jobs. */
    isTokenCountComplete: () => boolean;
    /** Returns the largest head of the request of an item, in bytes; unlimited if it is left out. */
    maxItemHeadBytes?: () => number;
}

/** Accepts and cancels jobs with one conditional write each, so that a job sent to many instances is stored once. */
export class JobAcceptor {
    private readonly opts: JobAcceptorOptions;
    private readonly waitingTokensEntries = new Map<string, KeyValueEntry>();

    constructor(opts: JobAcceptorOptions) {
        this.opts = opts;
    }

    /**
     * Stores the job, or holds it on disks. A job that was accepted before is accepted again. Rejects with the
     * errors of `assertSubmissionValid` if it can't be run, and with `JOB_TOO_LARGE` if it could never be stored.
     */
    async accept(route: Route, submission: JobSubmission): Promise<Acceptance> {
        const { jobId } = submission;
        const acceptance = await this.findAcceptedIfInvalid(route, submission)
            ?? await this.writeOrHold(route, submission);
        this.opts.logger.info("job-submitted", {
            jobId,
            route: route.name,
            items: submission.items.length,
            ...acceptance,
        });
        return acceptance;
    }

    /**
     * Rejects if the job can't be run or stored. One that was accepted under other limits is accepted again.
     *
     * @returns undefined if the job can be run and stored
     */
    private async findAcceptedIfInvalid(route: Route, submission: JobSubmission): Promise<Acceptance | undefined> {
        const { service, clock, maxItemHeadBytes } = this.opts;
        try {
            assertSubmissionValid(submission, { maxHeadBytes: maxItemHeadBytes?.() ?? Infinity });
            assertJobStorable(createSubmittedJob(route, submission, clock), service.maxValueSizeBytes);
            return undefined;
        }
        catch (thrown) {
            const accepted = await this.findAccepted(submission);
            if (accepted === undefined) {
                throw thrown;
            }
            return accepted;
        }
    }

    /**
     * Cancels a job. Rejects with `JOBS_NOT_SETTLED` if the job may be a held one that is not written yet, with
     * `JOB_UNSETTLED` if it is uncertain whether it is cancelled, otherwise with the error of the key-value service.
     *
     * @param caller undefined while the configuration has no teams
     * @returns the revision at which it was cancelled; undefined if the caller's team has no such job
     */
    async cancel(jobId: JobId, caller?: JobCaller): Promise<number | undefined> {
        const record = await this.opts.service.get(jobKeys.record(jobId));
        if (record === undefined && await this.mayBeHeld(jobId, caller)) {
            throw new KnapweedError("JOBS_NOT_SETTLED", "Jobs held during an outage may not be written yet");
        }
        if (record === undefined || !mayAccessJob(decodeRecord<JobRecord>(record.value), caller)) {
            return undefined;
        }
        const key = jobKeys.cancellation(jobId);
        const result = await settleTransaction({
            service: this.opts.service,
            clock: this.opts.clock,
            compares: [{ key, modRevision: 0 }, { key: record.key, modRevision: record.modRevision }],
            operations: [{ kind: "put", key, value: encodeRecord({ cancelled: true }) }],
            witnessKey: key,
        });
        if (result.kind === "unknown") {
            throw new KnapweedError("JOB_UNSETTLED", "It is not known whether the job is cancelled", {
                outcome: "unknown",
            });
        }
        const revision = result.kind === "succeeded"
            ? result.revision
            : result.current.find(entry => entry.key === key)?.modRevision;
        // Without either, the job has been removed since its record was read.
        if (revision !== undefined) {
            this.opts.logger.info("job-cancelled", { jobId, revision });
        }
        return revision;
    }

    /** Whether a job that isn't stored may be held on disks. Time alone doesn't tell: the disks may be out of reach. */
    private async mayBeHeld(jobId: JobId, caller: JobCaller | undefined): Promise<boolean> {
        try {
            return !this.opts.areHeldJobsWritten() || await this.opts.isKnownToLeader(jobId, caller);
        }
        catch (thrown) {
            this.opts.logger.info("job-existence-uncertain", { jobId, code: toKnapweedError(thrown).code });
            return true;
        }
    }

    /**
     * While jobs held during an outage are still being written, the stored count of waiting tokens is too low. Then a job
     * of a route with a limit is only held, because the leader has the complete count.
     */
    private async writeOrHold(route: Route, submission: JobSubmission): Promise<Acceptance> {
        if (route.maxWaitingTokens === undefined || this.opts.isTokenCountComplete()) {
            return this.writeThenHold(route, submission);
        }
        const held = await this.hold(route, submission);
        switch (held) {
            case "held":
                return { kind: "accepted", revision: 0 };
            case "unknown":
                return { kind: "unknown" };
            default:
                return await this.findAccepted(submission) ?? {
                    kind: "refused",
                    reason: held === "over-limit" ? "over-limit" : "store-away",
                    retryAfterMs: RETRY_AFTER_MS,
                };
        }
    }

    /** Writes the job. If that takes long or fails, holds it on disks until it can be written. */
    private async writeThenHold(route: Route, submission: JobSubmission): Promise<Acceptance> {
        const writing = this.tryWrite(route, submission);
        const written = await Promise.race([writing, sleep(this.opts.clock, HOLD_AFTER_MS)]);
        if (written !== undefined && isFinal(written)) {
            return written;
        }
        const held = await this.hold(route, submission);
        return held === "held" ? { kind: "accepted", revision: 0 } : mergeHoldOutcome(await writing, held);
    }

    /** Returns an acceptance if the job was accepted before, regardless of the limit; otherwise undefined. */
    private async findAccepted(submission: JobSubmission): Promise<Acceptance | undefined> {
        const { jobId } = submission;
        try {
            const existing = await this.opts.service.get(jobKeys.record(jobId));
            return existing === undefined ? undefined : acceptanceOfExisting(existing, submission);
        }
        catch (thrown) {
            this.opts.logger.debug("job-not-looked-up", { jobId, code: toKnapweedError(thrown).code });
            return undefined;
        }
    }

    private hold(route: Route, submission: JobSubmission): Promise<HoldOutcome> {
        return this.opts.holder.hold({ job: createSubmittedJob(route, submission, this.opts.clock) });
    }

    private async tryWrite(route: Route, submission: JobSubmission): Promise<Acceptance> {
        try {
            for (let conflicts = 0; conflicts < MAX_CONFLICTS; conflicts += 1) {
                const acceptance = await this.writeOnce(route, submission);
                if (acceptance !== undefined) {
                    return acceptance;
                }
            }
            return { kind: "refused", reason: "store-away", retryAfterMs: RETRY_AFTER_MS };
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.warn("job-write-failed", {
                jobId: submission.jobId,
                code: error.code,
                message: error.message,
            });
            if (error.outcome !== "not-run") {
                return { kind: "unknown" };
            }
            const reason = isInvalidCall(error) ? "not-storable" : "store-away";
            return { kind: "refused", reason, retryAfterMs: RETRY_AFTER_MS };
        }
    }

    /** @returns undefined if another job was accepted in the meantime and the write has to be repeated */
    private async writeOnce(route: Route, submission: JobSubmission): Promise<Acceptance | undefined> {
        const recordKey = jobKeys.record(submission.jobId);
        const plan = planJobWrite(
            createSubmittedJob(route, submission, this.opts.clock),
            this.waitingTokensEntries.get(tokensKeyOf(route, submission)),
            this.opts.service.maxValueSizeBytes,
        );
        if (plan.waitingTokens > (route.maxWaitingTokens ?? Infinity)) {
            return this.rejectOverLimit(route, submission);
        }
        const result = await settleTransaction({
            service: this.opts.service,
            clock: this.opts.clock,
            compares: plan.compares,
            operations: plan.operations,
            witnessKey: recordKey,
        });
        if (result.kind === "succeeded") {
            return { kind: "accepted", revision: result.revision };
        }
        if (result.kind === "unknown") {
            return await this.findAccepted(submission) ?? { kind: "unknown" };
        }
        // A job that was removed after its retention time was accepted before, too.
        const keys: string[] = [recordKey, jobKeys.tombstone(submission.jobId)];
        const existing = result.current.find(entry => keys.includes(entry.key));
        if (existing !== undefined) {
            return acceptanceOfExisting(existing, submission);
        }
        this.updateWaitingTokensEntry(tokensKeyOf(route, submission), result.current);
        return undefined;
    }

    /**
     * Rejects the job only on the basis of the newest entry of waiting tokens, since the cached one may be outdated.
     *
     * @returns undefined if the entry was outdated and the write has to be repeated
     */
    private async rejectOverLimit(route: Route, submission: JobSubmission): Promise<Acceptance | undefined> {
        const [existing, newest] = await Promise.all([
            this.opts.service.get(jobKeys.record(submission.jobId)),
            this.opts.service.get(tokensKeyOf(route, submission)),
        ]);
        if (existing !== undefined) {
            return acceptanceOfExisting(existing, submission);
        }
        if (newest?.modRevision !== this.waitingTokensEntries.get(tokensKeyOf(route, submission))?.modRevision) {
            this.updateWaitingTokensEntry(tokensKeyOf(route, submission), newest === undefined ? [] : [newest]);
            return undefined;
        }
        return { kind: "refused", reason: "over-limit", retryAfterMs: RETRY_AFTER_MS };
    }

    private updateWaitingTokensEntry(key: string, current: readonly KeyValueEntry[]): void {
        const entry = current.find(candidate => candidate.key === key);
        if (entry === undefined) {
            this.waitingTokensEntries.delete(key);
            return;
        }
        this.waitingTokensEntries.set(key, entry);
    }
}

function isFinal(acceptance: Acceptance): boolean {
    return acceptance.kind === "accepted" || (acceptance.kind === "refused" && acceptance.reason !== "store-away");
}

/** @param existing the record or tombstone of a job with the same id, which another team may have submitted */
function acceptanceOfExisting(existing: KeyValueEntry, { caller }: JobSubmission): Acceptance {
    return mayAccessJob(decodeRecord<Pick<JobRecord, "team">>(existing.value), caller)
        ? { kind: "accepted", revision: existing.modRevision }
        : { kind: "refused", reason: "id-taken", retryAfterMs: RETRY_AFTER_MS };
}

/** Returns the key of the waiting tokens with which a job is counted. */
function tokensKeyOf(route: Route, { caller }: JobSubmission): string {
    return jobKeys.waitingTokens(route.name, caller?.team);
}

/** Combines the outcome of the write with that of a failed hold. */
function mergeHoldOutcome(written: Acceptance, held: HoldOutcome): Acceptance {
    if (written.kind !== "refused") {
        return written;
    }
    switch (held) {
        case "unknown":
            // A copy held on one disk may be written later.
            return { kind: "unknown" };
        case "over-limit":
            return { ...written, reason: "over-limit" };
        default:
            return written;
    }
}
