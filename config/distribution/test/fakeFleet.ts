import { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import { MemoryInstanceList } from "@knapweedwood/standins.instance-list/memoryInstanceList";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { DistributedConfiguration } from "../src/distributedConfiguration.js";
import { FakeNetwork } from "./fakeNetwork.js";

/** One process of a {@link FakeFleet}. */
export interface FakeProcess {
    record: InstanceRecord;
    configuration: DistributedConfiguration;
    /** Each revision that became active, in order, since this process started. */
    revisions: number[];
}

/** Processes of one region, connected by fake links, with a stand-in platform and a manual clock. */
export class FakeFleet {
    readonly clock = new ManualClock(1_000_000);
    readonly keyValue = new MemoryKeyValueService({ clock: this.clock });
    readonly instanceList = new MemoryInstanceList({ clock: this.clock, lagMs: 500 });
    readonly network: FakeNetwork;
    readonly processes = new Map<InstanceId, FakeProcess>();
    /** Every process ever started, including killed ones. */
    readonly startedProcesses: FakeProcess[] = [];
    private readonly random: SeededRandom;
    private changeCount = 0;
    private incarnation = 0;

    constructor(opts: { seed: number; }) {
        this.random = new SeededRandom(opts.seed);
        this.network = new FakeNetwork({ clock: this.clock, random: this.random });
        this.announcePeriodically();
    }

    start(name: string, kind: "entry" | "side", zone: string): FakeProcess {
        this.incarnation += 1;
        const record: InstanceRecord = {
            instanceId: name as InstanceId,
            kind,
            region: "tt-north" as RegionName,
            zone: zone as ZoneName,
            address: `${name}:1`,
            state: "live",
            service: undefined,
            hasDataFolder: false,
        };
        const identity = { ...record, incarnation: this.incarnation as Incarnation, kind };
        const configuration = new DistributedConfiguration({
            identity,
            clock: this.clock,
            random: this.random,
            keyValue: kind === "entry" ? this.keyValue : undefined,
            instanceList: this.instanceList,
            endpoint: this.network.attach(identity, record.address),
            logger: silentLogger,
            metrics: silentMetrics,
        });
        const started: FakeProcess = { record, configuration, revisions: [] };
        configuration.subscribe(view => started.revisions.push(view.revision));
        this.processes.set(record.instanceId, started);
        this.startedProcesses.push(started);
        void this.instanceList.announce(record);
        void configuration.start();
        return started;
    }

    kill(name: string): void {
        const killed = this.processes.get(name as InstanceId);
        if (killed !== undefined) {
            void killed.configuration.stop();
            this.network.detach(killed.record.address);
            this.processes.delete(name as InstanceId);
        }
    }

    createPublisher(): ConfigurationPublisher {
        return new ConfigurationPublisher({
            keyValue: this.keyValue,
            clock: this.clock,
            createChangeId: () => {
                this.changeCount += 1;
                return `change-${this.changeCount}`;
            },
        });
    }

    /** Advances the clock until `promise` settles. */
    async run<Value>(promise: Promise<Value>): Promise<Value> {
        let isSettled = false;
        const settle = () => {
            isSettled = true;
        };
        promise.then(settle, settle);
        while (!isSettled) {
            await this.clock.advance(10);
        }
        return promise;
    }

    revisions(): number[] {
        return [...this.processes.values()].map(process => process.configuration.current()?.revision ?? 0);
    }

    private announcePeriodically(): void {
        this.processes.forEach(process => void this.instanceList.announce(process.record));
        this.clock.setTimer(2_000, () => this.announcePeriodically());
    }
}
