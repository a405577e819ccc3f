import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { BatchSource } from "@knapweedwood/batch.items/batchSource";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const COALESCING_DELAY_MS = 10;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 5000;
const MAX_RESULTS_PER_REPORT = 128;

/** Reports results of batch items, several at a time, and retries until an owner has accepted them. */
export class ResultReporter {
    private readonly clock: Clock;
    private readonly source: BatchSource;
    private readonly logger: Logger;
    private results: BatchResult[] = [];
    private flushing: Promise<void> | undefined;

    constructor(opts: { clock: Clock; source: BatchSource; logger: Logger; }) {
        this.clock = opts.clock;
        this.source = opts.source;
        this.logger = opts.logger;
    }

    /** Queues a result. Results are reported in the order in which they were added. */
    add(result: BatchResult): void {
        this.results.push(result);
        this.flushing ??= this.flush();
    }

    /** Resolves when all added results have been accepted. */
    async whenIdle(): Promise<void> {
        while (this.flushing !== undefined) {
            await this.flushing;
        }
    }

    private async flush(): Promise<void> {
        await sleep(this.clock, COALESCING_DELAY_MS);
        while (this.results.length > 0) {
            await this.report(this.results.splice(0, MAX_RESULTS_PER_REPORT));
        }
        this.flushing = undefined;
    }

    private async report(results: BatchResult[]): Promise<void> {
        for (let retryMs = MIN_RETRY_MS;; retryMs = Math.min(MAX_RETRY_MS, retryMs * 2)) {
            try {
                await this.source.report(results);
                return;
            }
            catch (thrown) {
                this.logger.warn("gate-report-failed", { code: toKnapweedError(thrown).code, results: results.length });
                await sleep(this.clock, retryMs);
            }
        }
    }
}
