import { ClaimService } from "@knapweedwood/batch.claims/claimService";
import { KeyValueBatchService } from "@knapweedwood/batch.jobs/keyValueBatchService";
import { BatchRole } from "@knapweedwood/batch.owner/batchRole";
import { registerSegmentHandlers } from "@knapweedwood/batch.segments/registerSegmentHandlers";
import { ReplicatedSegmentStore } from "@knapweedwood/batch.segments/replicatedSegmentStore";
import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { InstanceLifecycle } from "./instanceLifecycle.js";
import { MemoryEndpoint } from "./memoryEndpoint.js";
import type { MemorySegmentStore } from "./memorySegmentStore.js";
import { PausableClock } from "./pausableClock.js";
import { PausableKeyValueService } from "./pausableKeyValueService.js";
import { simulatedServices } from "./simulatedServices.js";
import type { SimulationPlatform } from "./simulationPlatform.js";

const HEARTBEAT_MS = 2000;
const REGION = "test" as RegionName;
const PARTITION_COUNT = 2;
const SHARD_COUNT = 2;

/** A simulated entry process: the real batch components on an in-memory platform. */
export class SimulatedEntry {
    readonly lifecycle = new InstanceLifecycle();
    readonly instanceId: InstanceId;
    readonly address: string;
    readonly batchService: KeyValueBatchService;
    readonly claims: ClaimService;
    readonly role: BatchRole;
    readonly segmentStore: ReplicatedSegmentStore;
    private readonly pausableKeyValue: PausableKeyValueService;
    private readonly endpoint: MemoryEndpoint;
    private readonly platform: SimulationPlatform;
    readonly zone: ZoneName;
    private readonly clock: PausableClock;

    constructor(opts: {
        platform: SimulationPlatform;
        index: number;
        incarnation: number;
        seed: number;
        dataFolder: MemorySegmentStore;
    }) {
        const { platform } = opts;
        this.platform = platform;
        this.instanceId = `entry-${opts.index}-${opts.incarnation}` as InstanceId;
        this.address = `entry-${opts.index}-${opts.incarnation}:1`;
        this.zone = `zone-${opts.index}` as ZoneName;
        const clock = new PausableClock({ clock: platform.clock, lifecycle: this.lifecycle });
        this.clock = clock;
        const random = new SeededRandom(opts.seed);
        this.pausableKeyValue = new PausableKeyValueService({ keyValue: platform.keyValue, lifecycle: this.lifecycle });
        const keyValue = platform.options.wrapKeyValue(this.pausableKeyValue);
        this.endpoint = new MemoryEndpoint({
            identity: {
                instanceId: this.instanceId,
                incarnation: opts.incarnation as Incarnation,
                kind: "entry",
                zone: this.zone,
                region: REGION,
            },
            address: this.address,
            lifecycle: this.lifecycle,
            network: platform.network,
        });
        registerSegmentHandlers({ endpoint: this.endpoint, store: opts.dataFolder });
        this.segmentStore = new ReplicatedSegmentStore({
            instanceId: this.instanceId,
            endpoint: this.endpoint,
            local: opts.dataFolder,
            holders: () => platform.holders(),
            copyCount: platform.options.copyCount,
        });
        const sharedOptions = {
            instanceId: this.instanceId,
            address: () => this.address,
            clock,
            random,
            keyValue,
            instanceList: platform.instanceList,
            endpoint: this.endpoint,
            segmentStore: this.segmentStore,
            logger: platform.options.logger ?? silentLogger,
            metrics: silentMetrics,
        };
        this.role = new BatchRole({
            ...sharedOptions,
            services: simulatedServices,
            teamWeight: () => 1,
            partitionCount: PARTITION_COUNT,
        });
        this.claims = new ClaimService({ ...sharedOptions, shardCount: SHARD_COUNT });
        this.batchService = new KeyValueBatchService({
            ...sharedOptions,
            onCancelled: jobId => this.role.notifyCancelled(jobId),
        });
    }

    /** Returns the ids of all leases granted to this entry, including revoked and expired ones. */
    get leaseIds(): readonly string[] {
        return this.pausableKeyValue.leaseIds;
    }

    /** Announces the entry and starts its batch role and claims. */
    start(): void {
        this.announce();
        this.role.start();
        this.claims.start();
    }

    /** Ends the process without a handover. */
    crash(): void {
        this.lifecycle.kill();
        this.platform.network.remove(this.address);
    }

    /** Stops the process as planned: hands its partitions and claim shards over first. */
    async stop(): Promise<void> {
        await this.platform.instanceList.announce({ ...this.instanceRecord(), state: "leaving" });
        await Promise.all([this.role.stop(), this.claims.stop()]);
        await this.platform.instanceList.withdraw(this.instanceId);
        this.crash();
    }

    private announce(): void {
        void this.platform.instanceList.announce(this.instanceRecord());
        this.clock.setTimer(HEARTBEAT_MS, () => this.announce());
    }

    private instanceRecord(): Parameters<SimulationPlatform["instanceList"]["announce"]>[0] {
        return {
            instanceId: this.instanceId,
            kind: "entry",
            region: REGION,
            zone: this.zone,
            address: this.address,
            state: "live",
            service: undefined,
            hasDataFolder: true,
        };
    }
}
