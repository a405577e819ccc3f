import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { JobCleanup } from "./jobCleanup.js";
import type { JobTable } from "./jobTable.js";
import type { ProgressWriter } from "./progressWriter.js";

/** Interval at which progress is stored and ended jobs are cleaned up, in milliseconds. */
const CHECKPOINT_INTERVAL_MS = 1500;
/** Minimum progress to store, in events. Less is cheaper to reproduce than to store. */
const MIN_CHECKPOINT_EVENTS = 25;

interface JobCheckpointsOptions {
    clock: Clock;
    logger: Logger;
    table: JobTable;
    progress: ProgressWriter;
    cleanup: JobCleanup;
    /** Whether this process leads and has loaded the jobs. */
    isActive: () => boolean;
}

/** Stores the progress of items and cleans up ended jobs at intervals. */
export class JobCheckpoints {
    private readonly opts: JobCheckpointsOptions;
    private timer: Timer | undefined;
    private isRunning = false;

    constructor(opts: JobCheckpointsOptions) {
        this.opts = opts;
    }

    start(): void {
        this.timer = this.opts.clock.setTimer(CHECKPOINT_INTERVAL_MS, () => {
            this.start();
            void this.run();
        });
    }

    stop(): void {
        this.timer?.cancel();
    }

    private async run(): Promise<void> {
        if (this.isRunning || !this.opts.isActive()) {
            return;
        }
        this.isRunning = true;
        try {
            await this.opts.progress.saveFurthest(this.opts.table.all(), MIN_CHECKPOINT_EVENTS);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.debug("progress-not-stored", { code: error.code, message: error.message });
        }
        await this.opts.cleanup.run();
        this.isRunning = false;
    }
}
