import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const CHECK_INTERVAL_MS = 500;
/** Time in which a process on the instance would have been seen, in milliseconds. */
const VACANT_AFTER_MS = 2000;

interface VacantInstanceDrainsOptions {
    clock: Clock;
    logger: Logger;
    isLeading: () => boolean;
    /** Returns the instances that the operators want drained, shape [instances]. */
    requested: () => InstanceName[];
    /** Whether a process runs on the instance, or ran there a short time ago. */
    hasProcess: (instance: InstanceName) => boolean;
    /** Whether the disk of the instance may contain held jobs that no other runner has written. */
    mayHoldJobs: (instance: InstanceName) => boolean;
    /** Reports the instance as drained. Rejects if the key-value service fails. */
    report: (instance: InstanceName) => Promise<void>;
}

/** Reports instances without a process as drained, since nobody else can. Runners are not on every instance. */
export class VacantInstanceDrains {
    private readonly opts: VacantInstanceDrainsOptions;
    private readonly vacantSinceMs = new Map<InstanceName, number>();
    private readonly reported = new Set<InstanceName>();

    constructor(opts: VacantInstanceDrainsOptions) {
        this.opts = opts;
    }

    /** Checks the requests until `signal` is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(this.opts.clock, CHECK_INTERVAL_MS, signal);
            await Promise.all(this.findVacant().map(instance => this.report(instance)));
        }
    }

    private findVacant(): InstanceName[] {
        const nowMs = this.opts.clock.nowMs();
        const { requested, hasProcess, mayHoldJobs } = this.opts;
        const candidates = requested().filter(instance =>
            !this.reported.has(instance) && !hasProcess(instance) && !mayHoldJobs(instance)
        );
        [...this.vacantSinceMs.keys()]
            .filter(instance => !candidates.includes(instance))
            .forEach(instance => this.vacantSinceMs.delete(instance));
        candidates
            .filter(instance => !this.vacantSinceMs.has(instance))
            .forEach(instance => this.vacantSinceMs.set(instance, nowMs));
        return this.opts.isLeading()
            ? candidates.filter(instance => nowMs >= this.vacantSinceMs.get(instance)! + VACANT_AFTER_MS)
            : [];
    }

    private async report(instance: InstanceName): Promise<void> {
        try {
            await this.opts.report(instance);
            this.reported.add(instance);
            this.opts.logger.info("vacant-instance-drained", { drained: instance });
        }
        catch (thrown) {
            this.opts.logger.info("vacant-instance-not-reported", { code: toKnapweedError(thrown).code });
        }
    }
}
