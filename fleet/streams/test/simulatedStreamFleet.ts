import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { SimulatedNetwork } from "@knapweedwood/standins.network/simulatedNetwork";
import { StreamOriginExchange } from "../src/streamOriginExchange.js";

const PORT = 1;
const ZONES = 3;

/** Processes that share the origins of streams over a simulated network. Each is the host of its own name. */
export class SimulatedStreamFleet {
    readonly clock = new ManualClock();
    readonly network: SimulatedNetwork;
    private readonly names: InstanceName[];
    private readonly exchanges: StreamOriginExchange[] = [];
    private readonly firstRunner: number;
    /** Processes that the others have not heard of for a while, by index. */
    readonly unheard = new Set<number>();

    /** @param opts.runners number of processes, the last ones, that are runners */
    constructor(opts: { processes: number; runners?: number; seed: number; }) {
        this.network = new SimulatedNetwork({ clock: this.clock, random: new SeededRandom(opts.seed) });
        this.firstRunner = opts.processes - (opts.runners ?? 0);
        this.names = Array.from({ length: opts.processes }, (_, index) => `p-${index}` as InstanceName);
        this.names.forEach((_, index) => this.restart(index));
    }

    at(index: number): StreamOriginExchange {
        return this.exchanges[index]!;
    }

    /** Replaces a process by one that knows nothing. */
    restart(index: number): void {
        this.exchanges[index]?.close();
        const instanceName = this.names[index]!;
        const exchange = new StreamOriginExchange({
            clock: this.clock,
            logger: silentLogger,
            channel: this.network.channelOf(instanceName),
            self: { instanceName, address: { host: instanceName, port: PORT } },
            peers: () =>
                this.names.filter(name => name !== instanceName).map(name => ({
                    instanceName: name,
                    zone: `z-${this.names.indexOf(name) % ZONES}` as ZoneName,
                    address: { host: name, port: PORT },
                    isLive: !this.unheard.has(this.names.indexOf(name)),
                    isRunner: this.names.indexOf(name) >= this.firstRunner,
                })),
        });
        void exchange.listen();
        this.exchanges[index] = exchange;
    }

    /** Cuts a process off from the others, or connects it again. */
    setCut(index: number, isCut: boolean): void {
        this.network.down[isCut ? "add" : "delete"](this.names[index]!);
    }
}
