import type { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { FleetSnapshot } from "@knapweedwood/fleet.sync/fleetSnapshot";
import type { FleetSnapshotRequest } from "@knapweedwood/fleet.sync/fleetSnapshotRequest";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { ConfigurationCatchUp } from "../src/configurationCatchUp.js";
import { OperatorsFollower } from "../src/operatorsFollower.js";
import { otherRunners } from "../src/otherRunners.js";
import { SnapshotKeeper } from "../src/snapshotKeeper.js";
import { snapshotResponseOf } from "../src/snapshotResponseOf.js";
import { configurationOf } from "./configurationOf.js";
import { createFollowerContext } from "./createFollowerContext.js";

const TICK_MS = 100;
interface ConfigurationProcessOptions {
    clock: ManualClock;
    name: string;
    network: Map<string, ConfigurationProcess>;
    /** Where the instance keeps its snapshot over restarts of its process. */
    disk?: { stored: FleetSnapshot | undefined; };
}

/**
 * A process that follows the configuration with its own view of the key-value service, and with links to the processes
 * in `network`. Its lines of the log are in `lines`.
 */
export class ConfigurationProcess {
    readonly service: MemoryKeyValueService;
    readonly operators: OperatorsFollower;
    readonly keeper: SnapshotKeeper;
    readonly catchUp: ConfigurationCatchUp;
    readonly lines: string[] = [];
    readonly metrics: string[] = [];
    asked = 0;
    private readonly controller = new AbortController();
    private readonly opts: ConfigurationProcessOptions;

    constructor(opts: ConfigurationProcessOptions) {
        this.opts = opts;
        const { clock, name, network, disk = { stored: undefined } } = opts;
        this.service = new MemoryKeyValueService({ clock });
        const context = createFollowerContext(clock, this.service, this.createLogger());
        const { logger, random } = context;
        this.operators = new OperatorsFollower({
            ...context,
            instanceName: name as InstanceName,
            metrics: {
                ...silentMetrics,
                increment: (metric, tags) => void this.metrics.push(`${metric} ${JSON.stringify(tags)}`),
            },
            onConfiguration: () => undefined,
            onDrainRequested: () => undefined,
        });
        this.keeper = new SnapshotKeeper({
            clock,
            logger,
            known: () => ({ operators: this.operators.entries(), upstreams: [], fleet: [] }),
            file: {
                read: () => Promise.resolve(disk.stored),
                write: snapshot => Promise.resolve(void (disk.stored = snapshot)),
            },
        });
        this.catchUp = new ConfigurationCatchUp({
            clock,
            random,
            logger,
            endpoint: this.createEndpoint(),
            operators: this.operators,
            runners: () => otherRunners([...network.keys()].map(host => ({ host, port: 2 })), this.address()),
            isKeyValueReachable: () => true,
        });
    }

    /** Starts with what the disk contains. */
    async start(): Promise<void> {
        const stored = await this.keeper.load();
        this.operators.adoptFrom({ kind: "disk", name: this.opts.name }, stored?.operators ?? []);
        void this.keeper.run(this.controller.signal);
        void this.operators.mirror.run(this.controller.signal);
        this.tick();
    }

    stop(): void {
        this.controller.abort();
    }

    /** Whether a caller with the key is identified. */
    knows(key: string): boolean {
        return this.operators.configuration.teamOf(key) !== undefined;
    }

    /** Writes a configuration to this process's view of the key-value service. */
    async write(version: number, keys: string[]): Promise<void> {
        const value = configurationOf(version, keys);
        await this.service.transact([], [{ kind: "put", key: wireKeys.configuration, value }]);
    }

    /** Returns the address at which the other processes ask this one. */
    address(): HostPort {
        return { host: this.opts.name, port: 2 };
    }

    private tick(): void {
        if (!this.controller.signal.aborted) {
            this.catchUp.tick();
            this.opts.clock.setTimer(TICK_MS, () => this.tick());
        }
    }

    private createEndpoint(): LinkEndpoint {
        const ask = (address: string, request: FleetSnapshotRequest) => {
            this.asked += 1;
            const runner = this.opts.network.get(address.split(":")[0]!);
            if (runner === undefined || runner.controller.signal.aborted) {
                throw new KnapweedError("LINK_NOT_OPEN", "No connection", { outcome: "not-run" });
            }
            const snapshot = snapshotResponseOf(request, runner.keeper.current());
            return snapshot === undefined ? {} : { snapshot };
        };
        const connect = (address: string) => ({
            call: async function*(_definition: unknown, request: FleetSnapshotRequest) {
                yield ask(address, request);
            },
        });
        return { connect } as unknown as LinkEndpoint;
    }

    private createLogger(): Logger {
        const write = (event: string, fields?: object) => void this.lines.push(JSON.stringify({ event, ...fields }));
        return { debug: write, info: write, warn: write, error: write, child: () => this.createLogger() };
    }
}
