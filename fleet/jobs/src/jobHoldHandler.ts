import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { countJobTokens } from "./countJobTokens.js";
import type { HeldJob } from "./heldJob.js";
import type { HeldJobs } from "./heldJobs.js";
import type { HoldAdmission } from "./holdAdmission.js";
import type { HoldDecision } from "./holdDecision.js";
import type { HoldRequest } from "./holdRequest.js";
import type { HoldResponse } from "./holdResponse.js";
import { isSameTokenGroup } from "./isSameTokenGroup.js";
import type { JobRecord } from "./jobRecord.js";
import type { JobRunner } from "./jobRunner.js";
import type { LeaderCount } from "./leaderCount.js";
import { LeaderJobWriter } from "./leaderJobWriter.js";
import type { LeaderWriteOutcome } from "./leaderWriteOutcome.js";
import type { StoreReachability } from "./storeReachability.js";

/** Longest time for which the leader tries to write a job before it responds, in milliseconds. */
const MAX_WRITE_MS = 2300;
/**
 * Time after the leader's last success in which reports of peers that they reach the service may be from before an outage,
 * in milliseconds. A report counts a lease renewal of the last 1.8 s, and leases are renewed at least once a second.
 */
const OUTDATED_REPORTS_MS = 3000;
const POLL_INTERVAL_MS = 50;
/** Pause before a failed write is repeated, in milliseconds. */
const RETRY_DELAY_MS = 250;

interface JobHoldHandlerOptions {
    service: KeyValueService;
    clock: Clock;
    logger: Logger;
    admission: HoldAdmission;
    held: Pick<HeldJobs, "recordOf" | "hold">;
    runner: Pick<JobRunner, "recordOf" | "leaderCount" | "lacksReportedJob" | "onHeld">;
    fence: () => KeyValueCompare | undefined;
    /** Returns the fencing number of the newest leader that this runner has heard of from others; 0 for none. */
    newestLeader: () => number;
    reachability: () => StoreReachability;
    isDraining: () => boolean;
}

/**
 * Responds at a runner to requests to hold a job. While a process reaches the key-value service, the stored count of
 * waiting tokens decides on jobs of routes with a limit: the leader writes such a job instead of holding it, or rejects it.
 * Only while no process is known to reach the service, the leader's own count decides.
 */
export class JobHoldHandler {
    private readonly opts: JobHoldHandlerOptions;
    private readonly writer: LeaderJobWriter;
    /** Jobs that the leader has approved and that are being written to its disk. */
    private readonly approved = new Map<JobId, HeldJob>();

    constructor(opts: JobHoldHandlerOptions) {
        this.opts = opts;
        this.writer = new LeaderJobWriter({
            ...opts,
            uncountedTokens: (job, counted) => this.count(job, counted)?.waitingTokens,
        });
    }

    /** Responds once the job is synced to the disk, or stored, or rejected. */
    async handle(request: HoldRequest): Promise<HoldResponse> {
        const startedAtMs = this.opts.clock.nowMs();
        const response = await this.respond(request);
        const { jobId, routeName, team } = request.job.record;
        this.opts.logger.info("job-hold-decided", {
            jobId,
            routeName,
            team,
            ...response,
            ...this.opts.reachability(),
            durationMs: Math.round(this.opts.clock.nowMs() - startedAtMs),
        });
        return response;
    }

    private async respond({ job, approvedBy }: HoldRequest): Promise<HoldResponse> {
        const { jobId } = job.record;
        const decision = this.decide(job, approvedBy);
        if (this.opts.isDraining() || decision.kind === "reject" || this.isOfOtherTeam(job)) {
            return { outcome: "not-held" };
        }
        const needsApproval = job.maxWaitingTokens !== undefined && approvedBy === undefined && !this.isKnown(jobId);
        if (decision.kind === "over-limit" || !needsApproval) {
            return this.carryOut(job, decision);
        }
        const written = await this.writeWhileReachable(job);
        switch (written) {
            case "stored":
                this.opts.runner.onHeld(job);
                // Without `approvedBy`, the gateway asks for no copies.
                return { outcome: "held" };
            case "over-limit":
                return this.rejectOverLimit(job);
            case "not-run":
                return { outcome: "not-held" };
            case "unknown":
                return { outcome: "unknown" };
            default:
                return this.holdByOwnCount(job, written.mayBeStored);
        }
    }

    /**
     * Writes the job while a process reaches the service.
     *
     * @returns the outcome, or whether the job may be stored once no process is known to reach the service
     */
    private async writeWhileReachable(job: HeldJob): Promise<LeaderWriteOutcome | { mayBeStored: boolean; }> {
        const { clock } = this.opts;
        const startedAtMs = clock.nowMs();
        let writing: Promise<void> | undefined;
        let outcome: LeaderWriteOutcome = "not-run";
        for (let nextWriteAtMs = startedAtMs; outcome === "not-run";) {
            const { isReachable, isReachableByPeer, lastReachedAtMs } = this.opts.reachability();
            if (!isReachable && !isReachableByPeer) {
                return { mayBeStored: writing !== undefined };
            }
            const endAtMs = Math.min(startedAtMs + MAX_WRITE_MS, lastReachedAtMs + OUTDATED_REPORTS_MS);
            const mustStop = clock.nowMs() >= endAtMs || this.decide(job, undefined).kind === "reject";
            if (mustStop) {
                return writing === undefined ? "not-run" : "unknown";
            }
            if (writing === undefined && isReachable && clock.nowMs() >= nextWriteAtMs) {
                writing = this.writer.write(job).then(written => {
                    outcome = written;
                    writing = undefined;
                    nextWriteAtMs = clock.nowMs() + RETRY_DELAY_MS;
                });
            }
            await Promise.race([writing ?? sleep(clock, POLL_INTERVAL_MS), sleep(clock, POLL_INTERVAL_MS)]);
        }
        return outcome;
    }

    private async holdByOwnCount(job: HeldJob, mayBeStored: boolean): Promise<HoldResponse> {
        const decision = this.decide(job, undefined);
        // The leader's count lacks jobs that gateways wrote while the service rejected only the leader.
        const isCountOutdated = decision.kind === "hold" && this.opts.runner.lacksReportedJob;
        if (mayBeStored && (isCountOutdated || decision.kind !== "hold")) {
            return { outcome: "unknown" };
        }
        return isCountOutdated ? { outcome: "not-held" } : this.carryOut(job, decision);
    }

    private async carryOut(job: HeldJob, decision: HoldDecision): Promise<HoldResponse> {
        switch (decision.kind) {
            case "reject":
                return { outcome: "not-held" };
            case "over-limit":
                return this.rejectOverLimit(job);
            case "hold":
                return this.hold(job, decision.approvedBy);
        }
    }

    private async hold(job: HeldJob, approvedBy: number | undefined): Promise<HoldResponse> {
        const { jobId } = job.record;
        this.approved.set(jobId, job);
        try {
            await this.opts.held.hold(job);
        }
        finally {
            this.approved.delete(jobId);
        }
        return { outcome: "held", ...approvedBy === undefined ? {} : { approvedBy } };
    }

    private rejectOverLimit(job: HeldJob): HoldResponse {
        const { record: { jobId }, maxWaitingTokens } = job;
        this.opts.logger.info("job-over-limit", { jobId, maxWaitingTokens, ...this.count(job, new Set()) });
        return { outcome: "over-limit" };
    }

    private decide(job: HeldJob, approvedBy: number | undefined): HoldDecision {
        return this.opts.admission.decide({
            tokens: countJobTokens(job.record),
            maxWaitingTokens: job.maxWaitingTokens,
            isKnown: this.isKnown(job.record.jobId),
            approvedBy,
            newestLeader: this.opts.newestLeader(),
            leaderCount: this.count(job, new Set()),
        });
    }

    private isKnown(jobId: JobId): boolean {
        return this.knownRecord(jobId) !== undefined;
    }

    /** Whether another team has a job with this id. It must not be accepted as that of the caller's team. */
    private isOfOtherTeam({ record }: HeldJob): boolean {
        const known = this.knownRecord(record.jobId);
        return known !== undefined && known.team !== record.team;
    }

    private knownRecord(jobId: JobId): JobRecord | undefined {
        return this.opts.runner.recordOf(jobId) ?? this.opts.held.recordOf(jobId);
    }

    /** Returns the leader's count without the tokens of `job` and of the jobs of `except`. */
    private count(job: HeldJob, except: ReadonlySet<JobId>): LeaderCount | undefined {
        const { jobId } = job.record;
        const excluded = new Set([...except, jobId]);
        const count = this.opts.runner.leaderCount(job.record, excluded);
        // A job that is being written to the disk isn't in the runner's table yet.
        const approvedTokens = [...this.approved.values()]
            .map(({ record }) => record)
            .filter(record => isSameTokenGroup(record, job.record) && !excluded.has(record.jobId))
            .filter(record => this.opts.runner.recordOf(record.jobId) === undefined)
            .reduce((sum, record) => sum + countJobTokens(record), 0);
        return count === undefined ? undefined : { ...count, waitingTokens: count.waitingTokens + approvedTokens };
    }
}
