import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { HeldJob } from "./heldJob.js";
import { jobKeys } from "./jobKeys.js";

/** Pause before stored results are read, or held jobs collected, again after a failure, in milliseconds. */
const RETRY_DELAY_MS = 300;

interface JobLoaderOptions {
    clock: Clock;
    service: SnapshotKeyValueService;
    logger: Logger;
    collectHeldJobs: (fencingNumber: number) => Promise<{ jobs: HeldJob[]; isComplete: boolean; }>;
}

/** Loads for a new leader what the key-value service and the other runners know of the jobs. Retries after failures. */
export class JobLoader {
    private readonly opts: JobLoaderOptions;

    constructor(opts: JobLoaderOptions) {
        this.opts = opts;
    }

    /** Returns the stored results and progress, shape [entries]; undefined once `signal` is aborted. */
    async loadResults(signal: AbortSignal): Promise<KeyValueEntry[] | undefined> {
        while (!signal.aborted) {
            try {
                const { entries } = await this.opts.service.snapshot(jobKeys.resultsPrefix);
                return signal.aborted ? undefined : entries;
            }
            catch (thrown) {
                const error = toKnapweedError(thrown);
                this.opts.logger.warn("jobs-load-failed", { code: error.code, message: error.message });
                await sleep(this.opts.clock, RETRY_DELAY_MS, signal);
            }
        }
        return undefined;
    }

    /**
     * Collects the held jobs of the other runners until every accepted one is certain to be among them.
     *
     * @param opts.onCollected called with the jobs of each attempt, and whether they are complete
     */
    async collectHeldJobs(opts: {
        fencingNumber: number;
        signal: AbortSignal;
        onCollected: (jobs: readonly HeldJob[], isComplete: boolean) => void;
    }): Promise<void> {
        const { fencingNumber, signal, onCollected } = opts;
        for (let isDone = false; !isDone && !signal.aborted;) {
            const { jobs, isComplete } = await this.opts.collectHeldJobs(fencingNumber);
            if (!signal.aborted) {
                onCollected(jobs, isComplete);
            }
            isDone = isComplete;
            await sleep(this.opts.clock, isDone ? 0 : RETRY_DELAY_MS, signal);
        }
    }
}
