import { entrySettingsSchema } from "@knapweedwood/config.settings/entrySettingsSchema";
import { sideSettingsSchema } from "@knapweedwood/config.settings/sideSettingsSchema";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { EntryProcess } from "@knapweedwood/daemons.entry/entryProcess";
import { SideProcess } from "@knapweedwood/daemons.side/sideProcess";
import { EngineServer } from "@knapweedwood/standins.engine/engineServer";
import { MemoryInstanceList } from "@knapweedwood/standins.instance-list/memoryInstanceList";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { ServiceServer } from "@knapweedwood/standins.service/serviceServer";
import { createHash } from "node:crypto";
import type { EmbeddedDeploymentOptions } from "./embeddedDeploymentOptions.js";
import type { EmbeddedEntry } from "./embeddedEntry.js";
import type { EmbeddedSide } from "./embeddedSide.js";

const HOST = "127.0.0.1";
const REGION = "demo";
const ZONES = ["demo-a", "demo-b", "demo-c"];
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_INTERVAL_MS = 50;
const LIST_LAG_MS = 200;
const LIST_TTL_MS = 15_000;
const SHUTDOWN_GRACE_MS = 5000;

/** A complete deployment in one process, with stand-ins for the platform. For tests and for trying out the system. */
export class EmbeddedDeployment {
    readonly entries: EmbeddedEntry[] = [];
    readonly sides: EmbeddedSide[] = [];
    readonly engines: EngineServer[] = [];
    readonly enginePorts: number[] = [];
    readonly services: ServiceServer[] = [];
    readonly keyValue: MemoryKeyValueService;
    readonly instanceList: MemoryInstanceList;
    private readonly opts: EmbeddedDeploymentOptions;
    private readonly clock = new SystemClock();
    private readonly random: SeededRandom;

    constructor(opts: EmbeddedDeploymentOptions) {
        this.opts = opts;
        this.random = new SeededRandom(opts.seed);
        this.keyValue = new MemoryKeyValueService({ clock: this.clock });
        this.instanceList = new MemoryInstanceList({ clock: this.clock, lagMs: LIST_LAG_MS, ttlMs: LIST_TTL_MS });
    }

    /** Starts all processes and waits until the first entry is ready. Throws `NOT_READY` after 20 seconds. */
    async start(): Promise<void> {
        await runInSequence(this.opts.entryCount, index => this.startEntry(index));
        await runInSequence(this.opts.engineCount, index => this.startEngine(index));
        await runInSequence(this.opts.serviceCount, index => this.startService(index));
        await this.waitUntilReady();
    }

    async stop(): Promise<void> {
        await Promise.all(this.sides.filter(side => !side.isStopped).map(side => side.process.stop()));
        await Promise.all(this.entries.map(entry => entry.process.stop()));
        await Promise.all([...this.engines, ...this.services].map(server => server.close()));
    }

    /** Returns the base URL of an entry. */
    url(index = 0): string {
        return `http://${HOST}:${this.entries[index]?.httpPort ?? 0}`;
    }

    /** Stops a side without a graceful shutdown. Its links are cut and its calls in progress are lost. */
    async crashSide(index: number): Promise<void> {
        const side = this.sides[index];
        if (side !== undefined) {
            side.isStopped = true;
            await side.process.crash();
        }
    }

    private async startEntry(index: number): Promise<void> {
        const settings = entrySettingsSchema.parse({
            instanceId: `entry-${index + 1}`,
            region: REGION,
            zone: zoneOf(index),
            link: { host: HOST, port: 0 },
            http: { host: HOST, port: index === 0 ? this.opts.port : 0 },
            platform: { keyValueUrl: "embedded:", instanceListUrl: "embedded:" },
            bootstrapKeyHash: createHash("sha256").update(this.opts.operatorKey).digest("hex"),
            shutdownGraceMs: SHUTDOWN_GRACE_MS,
        });
        const process = new EntryProcess({ settings, keyValue: this.keyValue, ...this.sharedOptions() });
        const { httpPort } = await process.start();
        this.entries.push({ process, httpPort });
    }

    private async startEngine(index: number): Promise<void> {
        const engine = new EngineServer({
            clock: this.clock,
            seed: this.opts.seed + index,
            ...this.opts.engine,
        });
        const port = await engine.listen({ host: HOST, port: 0 });
        this.engines.push(engine);
        this.enginePorts.push(port);
        await this.startSide(`side-${index + 1}`, index, this.opts.engineService, { kind: "model-engine", port });
    }

    private async startService(index: number): Promise<void> {
        const server = new ServiceServer({ clock: this.clock });
        const port = await server.listen({ host: HOST, port: 0 });
        this.services.push(server);
        await this.startSide(`plain-side-${index + 1}`, index, this.opts.plainService, { kind: "plain", port });
    }

    private async startSide(
        instanceId: string,
        index: number,
        service: string,
        upstream: { kind: "model-engine" | "plain"; port: number; },
    ): Promise<void> {
        const settings = sideSettingsSchema.parse({
            instanceId,
            region: REGION,
            zone: zoneOf(index),
            link: { host: HOST, port: 0 },
            service,
            upstream: { kind: upstream.kind, url: `http://${HOST}:${upstream.port}` },
            platform: { instanceListUrl: "embedded:" },
            shutdownGraceMs: SHUTDOWN_GRACE_MS,
        });
        const process = new SideProcess({ settings, ...this.sharedOptions() });
        await process.start();
        this.sides.push({ process, instanceId, isStopped: false });
    }

    private sharedOptions() {
        const { logger, metrics, tracer } = this.opts;
        return { clock: this.clock, random: this.random, instanceList: this.instanceList, logger, metrics, tracer };
    }

    private async waitUntilReady(): Promise<void> {
        const endMs = this.clock.nowMs() + READY_TIMEOUT_MS;
        while (!await isReady(`${this.url()}/readyz`)) {
            if (this.clock.nowMs() > endMs) {
                throw new KnapweedError("NOT_READY", "The embedded deployment did not become ready in time");
            }
            await sleep(this.clock, READY_POLL_INTERVAL_MS);
        }
    }
}

async function runInSequence(count: number, step: (index: number) => Promise<void>): Promise<void> {
    await Array.from({ length: count }, (_, index) => index)
        .reduce((previous, index) => previous.then(() => step(index)), Promise.resolve());
}

function zoneOf(index: number): string {
    return ZONES[index % ZONES.length] ?? REGION;
}

async function isReady(url: string): Promise<boolean> {
    const response = await fetch(url).catch(() => undefined);
    return response?.status === 200;
}
