import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Random } from "@knapweedwood/core.random/random";
import { parseHostPort } from "@knapweedwood/fleet.view/parseHostPort";
import type { ProcessSettings } from "@knapweedwood/fleet.view/processSettings";
import { PlatformStoreServer } from "@knapweedwood/platform.standins/platformStoreServer";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { TcpRelay } from "@knapweedwood/standins.network/tcpRelay";
import path from "node:path";
import { RESULT_RETENTION_MS } from "./resultRetentionMs.js";
import type { SoakGateway } from "./soakGateway.js";
import { ANSWER_SERVICE, MODEL_SERVICE } from "./soakNames.js";
import { SoakOperator } from "./soakOperator.js";
import { SoakProcess } from "./soakProcess.js";
import type { SoakRecord } from "./soakRecord.js";
import type { SoakTeams } from "./soakTeams.js";
import { SoakUpstream } from "./soakUpstream.js";
import type { UpstreamSizes } from "./upstreamSizes.js";

const CALLERS_PORT = 8144;
const READINESS_PORT = 8140;
const PEER_PORTS = [7660, 7661, 7662, 7663];
const ZONES = ["a", "b", "c"];
/** Number of software versions that serve side by side. */
const SOFTWARE_VERSIONS = 2;
const RUNNERS = 3;
const MODEL_UPSTREAMS = 4;
const ANSWER_UPSTREAMS = 3;
const ANSWER_SLOTS = 8;
const STOP_GRACE_MS = 8000;
const UPSTREAM_DRAIN_MS = 2000;
const CONFIGURATION_BOUND_MS = 2000;
const JOB_END_BOUND_MS = 3000;
const MIN_LEASE_MS = 1000;

/** A process with the relay between it and the key-value service. */
interface FleetMember {
    process: SoakProcess;
    storeRelay: TcpRelay;
}

interface SoakFleetOptions {
    root: string;
    folder: string;
    /** Second byte of the loopback addresses, so that several fleets can run at the same time. */
    subnet: number;
    processes: number;
    record: SoakRecord;
    random: Random;
    /** Undefined for a deployment without teams. */
    teams: SoakTeams | undefined;
    upstreamSizes: UpstreamSizes;
    nowMs: () => number;
}

/** The processes of one soak, with the key-value service and the upstreams that they use. */
export class SoakFleet {
    readonly keyValueService = new MemoryKeyValueService({ clock: new SystemClock() });
    readonly store = new PlatformStoreServer(this.keyValueService);
    readonly operator: SoakOperator;
    readonly gateways: FleetMember[] = [];
    readonly runners: FleetMember[] = [];
    readonly upstreams: SoakUpstream[] = [];
    private readonly opts: SoakFleetOptions;
    private upstreamCount = 0;

    constructor(opts: SoakFleetOptions) {
        this.opts = opts;
        this.operator = new SoakOperator({ ...opts, keyValueService: this.keyValueService });
    }

    get members(): FleetMember[] {
        return [...this.gateways, ...this.runners];
    }

    /** The gateways as callers see them. */
    get gatewayAddresses(): SoakGateway[] {
        return this.gateways.map(({ process }) => ({
            name: process.name,
            host: process.settings.host,
            callersPort: CALLERS_PORT,
            readinessPort: READINESS_PORT,
            startNumber: () => process.startNumber,
        }));
    }

    /** Starts the key-value service, the upstreams and all processes. Does not wait until the processes are ready. */
    async start(): Promise<void> {
        const storePort = await this.store.listen(this.hostOf(4, 1));
        await this.operator.writeNextConfiguration();
        const services = [
            ...Array.from({ length: MODEL_UPSTREAMS }, () => MODEL_SERVICE),
            ...Array.from({ length: ANSWER_UPSTREAMS }, () => ANSWER_SERVICE),
        ];
        for (const service of services) {
            this.upstreams.push(await this.createUpstream(service));
        }
        const gatewayCount = Math.max(2, this.opts.processes - RUNNERS);
        for (let index = 0; index < gatewayCount; index++) {
            this.gateways.push(await this.createMember("gateway", index, storePort));
        }
        for (let index = 0; index < RUNNERS; index++) {
            this.runners.push(await this.createMember("runner", index, storePort));
        }
        this.members.forEach(({ process }) => process.start());
    }

    /** Starts an upstream and announces it in the key-value service. */
    async createUpstream(service: string): Promise<SoakUpstream> {
        const number = this.upstreamCount++;
        const upstream = new SoakUpstream(`u-${number}`, {
            ...this.opts,
            service,
            slots: service === MODEL_SERVICE ? this.opts.upstreamSizes.modelSlots : ANSWER_SLOTS,
            maxQueued: this.opts.upstreamSizes.maxQueued,
            zone: ZONES[number % ZONES.length]!,
            softwareVersion: `v${number % SOFTWARE_VERSIONS}` as SoftwareVersion,
            onRestart: restarted => this.operator.announce(restarted),
        });
        await upstream.listen(this.hostOf(3, 1 + number % 250));
        await this.operator.announce(upstream);
        return upstream;
    }

    /** Ends all faults and starts the processes that are not running. */
    clearFaults(): void {
        this.store.mode = "normal";
        this.store.delayMs = 0;
        this.store.responsesToLose = 0;
        this.members.forEach(({ process, storeRelay }) => {
            process.signal("SIGCONT");
            storeRelay.silenceNew();
            storeRelay.setDelay(0);
            if (!process.isRunning) {
                process.start();
            }
        });
        this.upstreams.forEach(upstream => {
            upstream.mode = "healthy";
            upstream.relay.silenceNew();
            upstream.relay.setDelay(0);
        });
    }

    /** Kills all processes, then closes the relays, the upstreams and the key-value service. */
    async close(): Promise<void> {
        await Promise.all(this.members.map(({ process }) => process.kill()));
        this.members.forEach(({ storeRelay }) => storeRelay.close());
        this.upstreams.forEach(upstream => upstream.close());
        await this.store.close();
        this.keyValueService.close();
    }

    private async createMember(program: "gateway" | "runner", index: number, storePort: number): Promise<FleetMember> {
        const host = this.hostOf(program === "gateway" ? 1 : 2, index + 1);
        const storeRelay = new TcpRelay({ host: this.hostOf(4, 1), port: storePort });
        const name = `${program}-${index}`;
        const folder = path.join(this.opts.folder, name);
        const isGateway = program === "gateway";
        const settings: ProcessSettings = {
            instanceName: name as InstanceName,
            zone: ZONES[index % ZONES.length] as ZoneName,
            region: "r" as RegionName,
            host,
            callersAddress: isGateway ? { host, port: CALLERS_PORT } : undefined,
            readinessAddress: isGateway ? { host, port: READINESS_PORT } : undefined,
            peerPorts: PEER_PORTS,
            seedHosts: [this.hostOf(2, 1), this.hostOf(2, 2)],
            keyValueAddress: parseHostPort(await storeRelay.listen(this.hostOf(4, 2))),
            minLeaseMs: MIN_LEASE_MS,
            dataFolder: isGateway ? undefined : path.join(folder, "data"),
            tolerableLosses: 1,
            upstreamDrainMs: UPSTREAM_DRAIN_MS,
            memoryMb: undefined,
            stopGraceMs: STOP_GRACE_MS,
            configurationBoundMs: CONFIGURATION_BOUND_MS,
            jobEndBoundMs: JOB_END_BOUND_MS,
            resultRetentionMs: RESULT_RETENTION_MS,
        };
        return { process: new SoakProcess({ ...this.opts, folder, program, settings }), storeRelay };
    }

    /** Returns a loopback address. Groups: 1 gateways, 2 runners, 3 upstreams, 4 key-value service and its relays. */
    private hostOf(group: number, number: number): string {
        return `127.${this.opts.subnet}.${group}.${number}`;
    }
}
