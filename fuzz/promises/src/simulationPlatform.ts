import type { SegmentHolder } from "@knapweedwood/batch.segments/segmentHolder";
import type { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { MemoryInstanceList } from "@knapweedwood/standins.instance-list/memoryInstanceList";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { MemoryNetwork } from "./memoryNetwork.js";
import type { SimulationOptions } from "./simulationOptions.js";
import { UpstreamHistory } from "./upstreamHistory.js";

/** The in-memory platform of a simulated fleet: clock, key-value service, instance list, network and upstreams. */
export class SimulationPlatform {
    readonly clock: ManualClock;
    readonly options: SimulationOptions;
    readonly keyValue: MemoryKeyValueService;
    readonly instanceList: MemoryInstanceList;
    readonly network: MemoryNetwork;
    readonly upstreams = new UpstreamHistory();
    /** Returns the live instances that have a data folder. The fleet sets this function. */
    holders: () => SegmentHolder[] = () => [];

    constructor(opts: { clock: ManualClock; options: SimulationOptions; }) {
        this.clock = opts.clock;
        this.options = opts.options;
        this.keyValue = new MemoryKeyValueService({ clock: opts.clock });
        this.instanceList = new MemoryInstanceList({ clock: opts.clock, ttlMs: 6000 });
        this.network = new MemoryNetwork({ clock: opts.clock });
    }
}
