import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import { CLOCK_MARGIN_MS } from "@knapweedwood/fleet.jobs/clockMarginMs";
import { HELD_JOBS_WRITE_MS } from "@knapweedwood/fleet.jobs/heldJobsWriteMs";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { RunnerRecord } from "./runnerRecord.js";

const CHECK_INTERVAL_MS = 1000;
/** Absence of a runner after which the copies of its held jobs are certain to have been written, in milliseconds. */
const REPLACED_AFTER_MS = HELD_JOBS_WRITE_MS + CHECK_INTERVAL_MS;

interface AbsentRunnerSweepOptions {
    clock: Clock;
    logger: Logger;
    isLeading: () => boolean;
    /** Whether this process, as the leader, knows every accepted job and can reach the key-value service. */
    knowsAllJobs: () => boolean;
    /** Time after its acceptance for which a held job is opened before it is stored, in milliseconds. */
    resultRetentionMs: () => number;
    /** Returns the records of the runners without a process, shape [runners]. */
    absentRunners: () => RunnerRecord[];
    /** Removes the record of a runner. Rejects if it may not be removed. */
    remove: (runner: RunnerRecord) => Promise<void>;
}

/**
 * Removes the records of runners that don't come back, so that a later leader doesn't wait for their held jobs. These
 * are known to the leader and have been written from other disks, or their retention time is over.
 */
export class AbsentRunnerSweep {
    private readonly opts: AbsentRunnerSweepOptions;
    private readonly absentSinceMs = new Map<InstanceName, number>();
    /** Time since which the leader has known every accepted job, on the clock; undefined while it doesn't. */
    private knowsAllSinceMs: number | undefined;

    constructor(opts: AbsentRunnerSweepOptions) {
        this.opts = opts;
    }

    /** Checks the records until `signal` is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(this.opts.clock, CHECK_INTERVAL_MS, signal);
            await Promise.all(this.findGone().map(runner => this.remove(runner)));
        }
    }

    private findGone(): RunnerRecord[] {
        const nowMs = this.opts.clock.nowMs();
        const absent = this.opts.absentRunners();
        const names = absent.map(({ member }) => member.instanceName);
        [...this.absentSinceMs.keys()].filter(name => !names.includes(name))
            .forEach(name => this.absentSinceMs.delete(name));
        names.filter(name => !this.absentSinceMs.has(name)).forEach(name => this.absentSinceMs.set(name, nowMs));
        this.knowsAllSinceMs = this.opts.knowsAllJobs() ? this.knowsAllSinceMs ?? nowMs : undefined;
        return this.opts.isLeading()
            ? absent.filter(({ member }) => this.isGone(this.absentSinceMs.get(member.instanceName)!, nowMs))
            : [];
    }

    private isGone(absentSinceMs: number, nowMs: number): boolean {
        const knownSinceMs = Math.max(absentSinceMs, this.knowsAllSinceMs ?? Infinity);
        return nowMs >= knownSinceMs + REPLACED_AFTER_MS
            || nowMs >= absentSinceMs + this.opts.resultRetentionMs() + CLOCK_MARGIN_MS;
    }

    private async remove(runner: RunnerRecord): Promise<void> {
        const { instanceName } = runner.member;
        try {
            await this.opts.remove(runner);
            this.opts.logger.info("runner-record-removed", { runner: instanceName });
        }
        catch (thrown) {
            const { code } = toKnapweedError(thrown);
            this.opts.logger.info("runner-record-not-removed", { runner: instanceName, code });
        }
    }
}
