import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { HeldJob } from "@knapweedwood/fleet.jobs/heldJob";
import { holdJobCall } from "@knapweedwood/fleet.jobs/holdJobCall";
import type { JobHolder } from "@knapweedwood/fleet.jobs/jobHolder";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const CALL_TIMEOUT_MS = 1000;

type HoldOutcome = "held" | "not-held" | "unknown";

/** Keeps jobs on the disks of the runners, over links. */
export class LinkJobHolder implements JobHolder {
    private readonly opts: {
        endpoint: LinkEndpoint;
        logger: Logger;
        /** Where runners accept links. */
        runners: () => HostPort[];
        /** Copies that have to be synced. */
        copies: number;
    };

    constructor(opts: { endpoint: LinkEndpoint; logger: Logger; runners: () => HostPort[]; copies: number; }) {
        this.opts = opts;
    }

    async hold(job: HeldJob): Promise<HoldOutcome> {
        const runners = this.opts.runners();
        return new Promise(resolve => {
            const outcomes: HoldOutcome[] = [];
            const add = (outcome: HoldOutcome) => {
                outcomes.push(outcome);
                if (outcomes.filter(one => one === "held").length >= this.opts.copies) {
                    resolve("held");
                }
                else if (outcomes.length === runners.length) {
                    resolve(outcomes.every(one => one === "not-held") ? "not-held" : "unknown");
                }
            };
            if (runners.length === 0) {
                resolve("not-held");
            }
            runners.forEach(runner => void this.holdAt(runner, job).then(add));
        });
    }

    private async holdAt(runner: HostPort, job: HeldJob): Promise<HoldOutcome> {
        try {
            const link = this.opts.endpoint.connect(`${runner.host}:${runner.port}`);
            const frame = await singleFrame(link.call(holdJobCall, job, { timeoutMs: CALL_TIMEOUT_MS }));
            return frame.isHeld ? "held" : "not-held";
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.info("job-not-held", {
                jobId: job.record.jobId,
                runner: runner.host,
                code: error.code,
                outcome: error.outcome,
            });
            return error.outcome === "not-run" ? "not-held" : "unknown";
        }
    }
}
