import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { HeldJob } from "@knapweedwood/fleet.jobs/heldJob";
import { heldJobIdsCall } from "@knapweedwood/fleet.jobs/heldJobIdsCall";
import type { HeldJobs } from "@knapweedwood/fleet.jobs/heldJobs";
import { holdJobCall } from "@knapweedwood/fleet.jobs/holdJobCall";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const CHECK_INTERVAL_MS = 1000;
/** Age from which a held job gets new copies for lost ones, in milliseconds. Most are written before. */
const MIN_AGE_MS = 2000;
/** Maximum number of jobs that get copies in one round, which bounds the traffic of a long outage. */
const MAX_JOBS_PER_ROUND = 50;
const CALL_TIMEOUT_MS = 1000;

/** A runner that has said which jobs it holds. */
interface Holder {
    address: HostPort;
    jobIds: ReadonlySet<JobId>;
}

interface HeldCopiesOptions {
    clock: Clock;
    logger: Logger;
    endpoint: Pick<LinkEndpoint, "connect">;
    /** Returns the fencing number of this process while it leads; undefined while it doesn't. */
    fencingNumber: () => number | undefined;
    held: Pick<HeldJobs, "olderThan" | "has" | "hold">;
    /** Returns the addresses of the other runners, shape [runners]. */
    otherRunners: () => HostPort[];
    /** Returns the number of copies of each held job. */
    copies: () => number;
}

/**
 * Has the leader replace lost copies of held jobs. A job that was accepted with enough copies would otherwise be lost with the
 * disks that are lost one after another before it can be written.
 */
export class HeldCopies {
    private readonly opts: HeldCopiesOptions;

    constructor(opts: HeldCopiesOptions) {
        this.opts = opts;
    }

    /** Checks the copies while this process leads, until `signal` is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(this.opts.clock, CHECK_INTERVAL_MS, signal);
            await this.replaceLost();
        }
    }

    private async replaceLost(): Promise<void> {
        const jobs = this.opts.fencingNumber() === undefined ? [] : this.opts.held.olderThan(MIN_AGE_MS);
        if (jobs.length === 0) {
            return;
        }
        const answers = await Promise.all(this.opts.otherRunners().map(address => this.ask(address)));
        const holders = answers.filter(answer => answer !== undefined);
        const lacking = jobs.filter(job => this.missingCopies(job, holders) > 0).slice(0, MAX_JOBS_PER_ROUND);
        for (const job of lacking) {
            await this.addCopies(job, holders);
        }
    }

    /** Returns how many copies a job lacks. Those of runners that can't be reached count as lost. */
    private missingCopies({ record: { jobId } }: HeldJob, holders: readonly Holder[]): number {
        const ownCopies = this.opts.held.has(jobId) ? 1 : 0;
        return this.opts.copies() - ownCopies - holders.filter(({ jobIds }) => jobIds.has(jobId)).length;
    }

    private async addCopies(job: HeldJob, holders: readonly Holder[]): Promise<void> {
        const { jobId } = job.record;
        const missing = this.missingCopies(job, holders);
        const others = holders.filter(({ jobIds }) => !jobIds.has(jobId)).map(({ address }) => () =>
            this.holdAt(address, job)
        );
        const hosts = this.opts.held.has(jobId) ? others : [() => this.holdHere(job), ...others];
        let added = 0;
        for (const hold of hosts) {
            added += added < missing && await hold() ? 1 : 0;
        }
        this.opts.logger.info("held-job-copied", { jobId, missing, added });
    }

    private async ask(address: HostPort): Promise<Holder | undefined> {
        try {
            const link = this.opts.endpoint.connect(`${address.host}:${address.port}`);
            const { jobIds } = await singleFrame(link.call(heldJobIdsCall, {}, { timeoutMs: CALL_TIMEOUT_MS }));
            return { address, jobIds: new Set(jobIds) };
        }
        catch (thrown) {
            this.opts.logger.debug("held-jobs-not-listed", {
                runner: address.host,
                code: toKnapweedError(thrown).code,
            });
            return undefined;
        }
    }

    /** @returns whether the job is now on this process's disk */
    private async holdHere(job: HeldJob): Promise<boolean> {
        try {
            await this.opts.held.hold(job);
            return true;
        }
        catch (thrown) {
            this.logFailed(job, thrown);
            return false;
        }
    }

    /** @returns whether the job is now on the runner's disk */
    private async holdAt(address: HostPort, job: HeldJob): Promise<boolean> {
        const approvedBy = this.opts.fencingNumber();
        try {
            const link = this.opts.endpoint.connect(`${address.host}:${address.port}`);
            const request = { job, ...approvedBy === undefined ? {} : { approvedBy } };
            const response = await singleFrame(link.call(holdJobCall, request, { timeoutMs: CALL_TIMEOUT_MS }));
            return response.outcome === "held";
        }
        catch (thrown) {
            this.logFailed(job, thrown);
            return false;
        }
    }

    private logFailed({ record: { jobId } }: HeldJob, thrown: unknown): void {
        this.opts.logger.info("held-job-not-copied", { jobId, code: toKnapweedError(thrown).code });
    }
}
