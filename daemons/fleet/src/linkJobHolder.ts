import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { holdJobCall } from "@knapweedwood/fleet.jobs/holdJobCall";
import type { HoldOutcome } from "@knapweedwood/fleet.jobs/holdOutcome";
import type { HoldRequest } from "@knapweedwood/fleet.jobs/holdRequest";
import type { JobHolder } from "@knapweedwood/fleet.jobs/jobHolder";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const CALL_TIMEOUT_MS = 1000;
/** Time for which the leader may reject a job over the limit before other runners are called, in milliseconds. */
const LEADER_WAIT_MS = 120;

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

/** Holds jobs on the disks of the runners, over links. */
export class LinkJobHolder implements JobHolder {
    private readonly opts: LinkJobHolderOptions;

    constructor(opts: LinkJobHolderOptions) {
        this.opts = opts;
    }

    async hold(request: HoldRequest): Promise<HoldOutcome> {
        const leader = this.opts.leader();
        const leaderOutcome = leader === undefined ? undefined : this.holdAt(leader, request);
        const first = await Promise.race([leaderOutcome, sleep(this.opts.clock, LEADER_WAIT_MS)]);
        if (first === "over-limit") {
            return first;
        }
        const others = this.opts.runners().filter(runner => !isSameAddress(runner, leader));
        return this.combineOutcomes([
            ...leaderOutcome === undefined ? [] : [leaderOutcome],
            ...others.map(runner => this.holdAt(runner, request)),
        ]);
    }

    /** Resolves once there are enough copies or all runners have responded. */
    private combineOutcomes(pending: readonly Promise<HoldOutcome>[]): Promise<HoldOutcome> {
        return new Promise(resolve => {
            const outcomes: HoldOutcome[] = [];
            const add = (outcome: HoldOutcome) => {
                outcomes.push(outcome);
                if (outcomes.filter(other => other === "held").length >= this.opts.copies()) {
                    resolve("held");
                }
                else if (outcomes.length === pending.length) {
                    resolve(outcomes.some(other => other === "held" || other === "unknown") ? "unknown" : "not-held");
                }
            };
            if (pending.length === 0) {
                resolve("not-held");
            }
            pending.forEach(promise => void promise.then(add));
        });
    }

    private async holdAt(runner: HostPort, request: HoldRequest): Promise<HoldOutcome> {
        try {
            const link = this.opts.endpoint.connect(`${runner.host}:${runner.port}`);
            const frame = await singleFrame(link.call(holdJobCall, request, { timeoutMs: CALL_TIMEOUT_MS }));
            return frame.outcome;
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.info("job-not-held", {
                jobId: request.job.record.jobId,
                runner: runner.host,
                code: error.code,
                outcome: error.outcome,
            });
            return error.outcome === "not-run" ? "not-held" : "unknown";
        }
    }
}

function isSameAddress(left: HostPort, right: HostPort | undefined): boolean {
    return left.host === right?.host && left.port === right.port;
}
