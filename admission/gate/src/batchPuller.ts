import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchSource } from "@knapweedwood/batch.items/batchSource";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const MIN_PAUSE_MS = 20;
const MAX_PAUSE_MS = 500;
const ENGINE_FAILURE_PAUSE_MS = 1000;
const MAX_ITEMS_PER_PULL = 64;

/** Pulls batch items, one pull at a time. Backs off exponentially while there are no items to run. */
export class BatchPuller {
    private readonly opts: {
        clock: Clock;
        source: BatchSource;
        logger: Logger;
        /** Accepts the items. @returns how many of them can run */
        onItems: (items: BatchItem[]) => number;
    };
    private isPulling = false;
    private pauseMs = MIN_PAUSE_MS;
    private notBeforeMs = 0;

    constructor(opts: BatchPuller["opts"]) {
        this.opts = opts;
    }

    /** Pulls up to `count` items, unless a pull is in progress or pulling is paused. */
    requestItems(count: number): void {
        if (count > 0 && !this.isPulling && this.opts.clock.nowMs() >= this.notBeforeMs) {
            void this.pull(Math.min(count, MAX_ITEMS_PER_PULL));
        }
    }

    /** Pauses pulling for `ENGINE_FAILURE_PAUSE_MS`, because the engine is failing. */
    pause(): void {
        this.notBeforeMs = this.opts.clock.nowMs() + ENGINE_FAILURE_PAUSE_MS;
    }

    private async pull(count: number): Promise<void> {
        this.isPulling = true;
        const items = await this.opts.source.pull(count).catch((thrown: unknown) => {
            this.opts.logger.debug("gate-pull-failed", { code: toKnapweedError(thrown).code });
            return [];
        });
        const runnableItems = this.opts.onItems(items);
        this.isPulling = false;
        if (runnableItems === 0) {
            this.notBeforeMs = Math.max(this.notBeforeMs, this.opts.clock.nowMs() + this.pauseMs);
            this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
            return;
        }
        this.pauseMs = MIN_PAUSE_MS;
    }
}
