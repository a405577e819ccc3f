import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import { cancelJobNotification } from "@knapweedwood/batch.items/cancelJobNotification";
import { LinkBatchSource } from "@knapweedwood/batch.source/linkBatchSource";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { InstanceLifecycle } from "./instanceLifecycle.js";
import { MemoryEndpoint } from "./memoryEndpoint.js";
import { PausableClock } from "./pausableClock.js";
import type { SimulationPlatform } from "./simulationPlatform.js";
import { upstreamResponse } from "./upstreamResponse.js";

const PULL_INTERVAL_MS = 300;
const PULL_COUNT = 4;
const MAX_RUN_MS = 400;
const SLOW_CHUNK_COUNT = 16;
const SLOW_CHUNK_MS = 300;

/** A simulated side process with its upstream: pulls items, runs them and reports their results. */
export class SimulatedSide {
    readonly lifecycle = new InstanceLifecycle();
    readonly service: ServiceName;
    private readonly platform: SimulationPlatform;
    private readonly clock: PausableClock;
    private readonly random: SeededRandom;
    private readonly source: LinkBatchSource;
    private readonly address: string;
    private readonly cancelledJobs = new Set<JobId>();
    private readonly onCrash: () => void;

    constructor(opts: {
        platform: SimulationPlatform;
        index: number;
        incarnation: number;
        service: string;
        seed: number;
        entries: () => string[];
        /** Called when an item crashes the upstream. */
        onCrash: () => void;
    }) {
        this.platform = opts.platform;
        this.onCrash = opts.onCrash;
        this.service = opts.service as ServiceName;
        this.address = `side-${opts.index}:1`;
        this.clock = new PausableClock({ clock: opts.platform.clock, lifecycle: this.lifecycle });
        this.random = new SeededRandom(opts.seed);
        const endpoint = new MemoryEndpoint({
            identity: {
                instanceId: `side-${opts.index}` as InstanceId,
                incarnation: opts.incarnation as Incarnation,
                kind: "side",
                zone: `zone-${opts.index % 3}` as ZoneName,
                region: "test" as RegionName,
            },
            address: this.address,
            lifecycle: this.lifecycle,
            network: opts.platform.network,
        });
        endpoint.handleNotification(cancelJobNotification, ({ jobId }) => {
            this.cancelledJobs.add(jobId);
        });
        this.source = new LinkBatchSource({
            endpoint,
            entries: opts.entries,
            service: this.service,
            clock: this.clock,
            random: this.random,
        });
    }

    /** Starts pulling items. */
    start(): void {
        this.schedulePull();
    }

    /** Ends the process at once. */
    crash(): void {
        this.lifecycle.kill();
        this.platform.network.remove(this.address);
    }

    private schedulePull(): void {
        this.clock.setTimer(PULL_INTERVAL_MS, () => {
            void this.pull().finally(() => this.schedulePull());
        });
    }

    private async pull(): Promise<void> {
        const items = await this.source.pull(PULL_COUNT);
        const results = await Promise.all(items.map(item => this.run(item)));
        const finished = results.filter(result => result !== undefined);
        if (finished.length > 0) {
            const report = this.source.report(finished);
            await (this.platform.options.reportsOnce ? Promise.race([report, sleep(this.clock, 1)]) : report);
        }
    }

    private async run(item: BatchItem): Promise<BatchResult | undefined> {
        await sleep(this.clock, this.random.nextInteger(MAX_RUN_MS));
        if (this.cancelledJobs.has(item.jobId) && !this.platform.options.ignoresCancel) {
            return undefined;
        }
        const runCount = this.platform.options.repeatsItems && this.random.nextInteger(4) === 0 ? 2 : 1;
        Array.from({ length: runCount }).forEach(() => this.execute(item));
        const { jobId, itemIndex, attempt } = item;
        if (item.body.behaviour === "slow" && !await this.runSlowStream(item)) {
            return undefined;
        }
        const outcome = this.outcomeOf(item);
        await sleep(this.clock, this.random.nextInteger(MAX_RUN_MS));
        return outcome && { jobId, itemIndex, attempt, outcome };
    }

    /** Runs a slow stream, which stops when its job is cancelled. @returns whether it ran to its end */
    private async runSlowStream(item: BatchItem): Promise<boolean> {
        for (let chunk = 0; chunk < SLOW_CHUNK_COUNT; chunk++) {
            await sleep(this.clock, SLOW_CHUNK_MS);
            if (this.cancelledJobs.has(item.jobId) && !this.platform.options.ignoresCancel) {
                return false;
            }
            this.platform.upstreams.recordChunk({ jobId: item.jobId, atMs: this.clock.nowMs() });
        }
        return true;
    }

    private execute(item: BatchItem): void {
        this.platform.upstreams.add({
            service: item.service,
            call: `${item.jobId}/${item.itemIndex}`,
            repeatable: item.repeatable,
            atMs: this.clock.nowMs(),
        });
    }

    private outcomeOf(item: BatchItem): BatchResult["outcome"] | undefined {
        switch (item.body.behaviour) {
            case "reject":
                return { kind: "rejected", statusCode: 400, code: "bad_request", message: "refused" };
            case "fail":
                return { kind: "failed", code: "engine_error", message: "failed", blame: "item", mayHaveRun: true };
            case "crash":
                this.onCrash();
                return undefined;
            default:
                return { kind: "completed", statusCode: 200, body: upstreamResponse(item.body) };
        }
    }
}
