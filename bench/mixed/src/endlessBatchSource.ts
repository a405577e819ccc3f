import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { BatchSource } from "@knapweedwood/batch.items/batchSource";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Random } from "@knapweedwood/core.random/random";
import { createBatchBody } from "./createBatchBody.js";
import { createRandom } from "./createRandom.js";

const PULL_DELAY_MS = 3;
const DUE_MS = 3_600_000;

/** A batch source for simulations that never runs out of items. It hands out returned items first. */
export class EndlessBatchSource implements BatchSource {
    readonly results: BatchResult[] = [];
    private readonly clock: Clock;
    private readonly random: Random;
    private readonly model: string;
    private readonly returned: BatchItem[] = [];
    private readonly handedOut = new Map<number, BatchItem>();
    private count = 0;

    constructor(opts: { clock: Clock; seed: number; model: string; }) {
        this.clock = opts.clock;
        this.random = createRandom(opts.seed);
        this.model = opts.model;
    }

    async pull(count: number): Promise<BatchItem[]> {
        await sleep(this.clock, PULL_DELAY_MS);
        return Array.from({ length: count }, () => this.returned.pop() ?? this.create());
    }

    report(results: BatchResult[]): Promise<void> {
        results.forEach(result => {
            const item = this.handedOut.get(result.itemIndex);
            if (result.outcome.kind === "returned" && item !== undefined) {
                this.returned.push({ ...item, resumeFrom: result.outcome.resumeFrom });
                return;
            }
            this.handedOut.delete(result.itemIndex);
            this.results.push(result);
        });
        return Promise.resolve();
    }

    private create(): BatchItem {
        this.count += 1;
        const item: BatchItem = {
            jobId: "job-bench" as JobId,
            itemIndex: this.count as ItemIndex,
            attempt: 1,
            teamId: "bench" as TeamId,
            service: "bench" as ServiceName,
            endpoint: "/v1/chat/completions",
            body: createBatchBody(this.random, this.model),
            dueAtMs: this.clock.nowMs() + DUE_MS,
            repeatable: true,
        };
        this.handedOut.set(this.count, item);
        return item;
    }
}
