import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { collectHeldCall } from "@knapweedwood/fleet.jobs/collectHeldCall";
import type { HeldJob } from "@knapweedwood/fleet.jobs/heldJob";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import { collectFrames } from "@knapweedwood/links.calls/collectFrames";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const CALL_TIMEOUT_MS = 1000;

interface HeldJobsCollectorOptions {
    endpoint: LinkEndpoint;
    logger: Logger;
    /** Returns the addresses of the other runners, shape [runners]. */
    otherRunners: () => HostPort[];
    /** Returns how many runners may be lost at the same time without losing a held job. */
    tolerableLosses: () => number;
    /** Whether this runner has read the jobs that it holds itself from its disk. */
    isOwnDiskRead: () => boolean;
}

/** Collects for a new leader the jobs that the other runners hold on their disks. */
export class HeldJobsCollector {
    private readonly opts: HeldJobsCollectorOptions;

    constructor(opts: HeldJobsCollectorOptions) {
        this.opts = opts;
    }

    /**
     * Returns the held jobs, and whether every job accepted by an earlier leader is certain to be among them. Each has
     * one copy more than runners may be lost, so that many runners, with this one, may not know their jobs.
     */
    async collect(fencingNumber: number): Promise<{ jobs: HeldJob[]; isComplete: boolean; }> {
        const answers = await Promise.all(this.opts.otherRunners().map(runner => this.ask(runner, fencingNumber)));
        const missingOthers = answers.filter(answer => answer === undefined).length;
        const missing = missingOthers + (this.opts.isOwnDiskRead() ? 0 : 1);
        const jobs = answers.flatMap(answer => answer ?? []);
        const isComplete = missing <= this.opts.tolerableLosses();
        this.opts.logger.info("held-jobs-collected", { fencingNumber, jobs: jobs.length, missing, isComplete });
        return { jobs, isComplete };
    }

    private async ask(runner: HostPort, fencingNumber: number): Promise<HeldJob[] | undefined> {
        try {
            const link = this.opts.endpoint.connect(`${runner.host}:${runner.port}`);
            const frames = await collectFrames(
                link.call(collectHeldCall, { fencingNumber }, { timeoutMs: CALL_TIMEOUT_MS }),
            );
            return frames.map(frame => frame.job);
        }
        catch (thrown) {
            const { code } = toKnapweedError(thrown);
            this.opts.logger.info("held-jobs-not-collected", { runner: runner.host, code });
            return undefined;
        }
    }
}
