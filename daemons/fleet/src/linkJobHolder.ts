import type { Clock } from "@knapweedwood/core.clock/clock";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { holdJobCall } from "@knapweedwood/fleet.jobs/holdJobCall";
import type { HoldOutcome } from "@knapweedwood/fleet.jobs/holdOutcome";
import type { HoldRequest } from "@knapweedwood/fleet.jobs/holdRequest";
import type { HoldResponse } from "@knapweedwood/fleet.jobs/holdResponse";
import type { JobHolder } from "@knapweedwood/fleet.jobs/jobHolder";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { CopyCollector } from "./copyCollector.js";

const CALL_TIMEOUT_MS = 1000;
/** Longer than the time for which the leader tries to write a job of a route with a limit, in milliseconds. */
const APPROVAL_TIMEOUT_MS = 2500;
/** Time after which one runner more is asked than copies are missing, in milliseconds. */
const HEDGE_DELAY_MS = 120;

interface LinkJobHolderOptions {
    endpoint: LinkEndpoint;
    clock: Clock;
    logger: Logger;
    /** Returns the addresses on which runners accept links, shape [runners]. */
    runners: () => HostPort[];
    /** Returns the leader's address for links. Only the leader tracks the number of waiting tokens. */
    leader: () => HostPort | undefined;
    /** Returns the number of copies that must be synced to disk. */
    copies: () => number;
}

/** Holds jobs on the disks of the leader and of a few other runners, chosen by rendezvous rank, over links. */
export class LinkJobHolder implements JobHolder {
    private readonly opts: LinkJobHolderOptions;

    constructor(opts: LinkJobHolderOptions) {
        this.opts = opts;
    }

    async hold(request: HoldRequest): Promise<HoldOutcome> {
        return request.job.maxWaitingTokens === undefined
            ? this.holdAtRunners(request, this.askLeader(request))
            : this.holdApproved(request);
    }

    /**
     * Holds a job of a route with a limit, which the leader has to approve before other runners make copies. A job that the
     * leader has stored needs none.
     */
    private async holdApproved(request: HoldRequest): Promise<HoldOutcome> {
        const response = await this.askLeader(request, APPROVAL_TIMEOUT_MS);
        const { approvedBy } = response;
        return response.outcome !== "held" || approvedBy === undefined
            ? response.outcome
            : this.holdAtRunners({ ...request, approvedBy }, Promise.resolve(response));
    }

    private async holdAtRunners(request: HoldRequest, leader: Promise<HoldResponse>): Promise<HoldOutcome> {
        const { clock } = this.opts;
        const collector = new CopyCollector({
            copies: this.opts.copies(),
            runners: this.rankOthers(request.job.record.jobId),
            askRunner: async runner => (await this.askRunner(runner, request)).outcome,
        });
        const hedgeTimer = clock.setTimer(HEDGE_DELAY_MS, () => collector.hedge());
        const outcome = await collector.collect([leader.then(response => response.outcome)]);
        hedgeTimer.cancel();
        return outcome;
    }

    /** Returns the runners without the leader, in the order in which they are asked to hold the job. */
    private rankOthers(jobId: JobId): HostPort[] {
        const leader = this.opts.leader();
        const others = this.opts.runners().filter(runner => !isSameAddress(runner, leader));
        const byAddress = new Map(others.map(runner => [`${runner.host}:${runner.port}`, runner]));
        return rendezvousRank(jobId, [...byAddress.keys()]).map(address => byAddress.get(address)!);
    }

    private async askLeader(request: HoldRequest, timeoutMs = CALL_TIMEOUT_MS): Promise<HoldResponse> {
        const leader = this.opts.leader();
        return leader === undefined ? { outcome: "not-held" } : this.askRunner(leader, request, timeoutMs);
    }

    private async askRunner(
        runner: HostPort,
        request: HoldRequest,
        timeoutMs = CALL_TIMEOUT_MS,
    ): Promise<HoldResponse> {
        try {
            const link = this.opts.endpoint.connect(`${runner.host}:${runner.port}`);
            return await singleFrame(link.call(holdJobCall, request, { timeoutMs }));
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.info("job-not-held", {
                jobId: request.job.record.jobId,
                runner: runner.host,
                code: error.code,
                outcome: error.outcome,
            });
            return { outcome: error.outcome === "not-run" ? "not-held" : "unknown" };
        }
    }
}

function isSameAddress(left: HostPort, right: HostPort | undefined): boolean {
    return left.host === right?.host && left.port === right.port;
}
