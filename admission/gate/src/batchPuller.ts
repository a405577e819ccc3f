import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchSource } from "@knapweedwood/batch.items/batchSource";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const MIN_PAUSE_MS = 20;
const MAX_PAUSE_MS = 500;
const ENGINE_FAILURE_PAUSE_MS = 1000;
const MAX_ITEMS_PER_PULL = 64;

/** Pulls batch items, one pull at a time; pauses longer and longer while there are none to run. */
export class BatchPuller {
    private readonly opts: {
        clock: Clock;
        source: BatchSource;
        logger: Logger;
        /** Takes the items in. @returns how many of them can run */
        onItems: (items: BatchItem[]) => number;
    };
    private isPulling = false;
    private pauseMs = MIN_PAUSE_MS;
    private notBeforeMs = 0;

    constructor(opts: BatchPuller["opts"]) {
        this.opts = opts;
    }

    /** Asks for `count` items, unless a pull is under way or a pause is on. */
    requestItems(count: number): void {
        if (count > 0 && !this.isPulling && this.opts.clock.nowMs() >= this.notBeforeMs) {
            void this.pull(Math.min(count, MAX_ITEMS_PER_PULL));
        }
    }

    /** Pulls nothing for a while, because the engine is in trouble. */
    pause(): void {
        this.notBeforeMs = this.opts.clock.nowMs() + ENGINE_FAILURE_PAUSE_MS;
    }

    private async pull(count: number): Promise<void> {
        this.isPulling = true;
        const items = await this.opts.source.pull(count).catch((thrown: unknown) => {
            this.opts.logger.debug("gate.pull-failed", { code: toKnapweedError(thrown).code });
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
