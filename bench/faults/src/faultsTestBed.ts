import { freePort } from "@knapweedwood/bench.load/freePort";
import type { LaunchedProcess } from "@knapweedwood/bench.load/launchedProcess";
import { launchProcess } from "@knapweedwood/bench.load/launchProcess";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { createHash } from "node:crypto";
import path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import type { FaultsPlan } from "./faultsPlan.js";
import { ManagedProcess } from "./managedProcess.js";
import { serviceFile } from "./serviceFile.js";

const HOST = "127.0.0.1";
const MODEL = "bench-chat";
const OPERATOR_KEY = "bench-operator-key";
const ZONES = ["bench-a", "bench-b", "bench-c"];
const ENGINE_COUNT = 3;
const SERVICE_COUNT = 2;
const PUBLISH_ATTEMPTS = 50;
const PUBLISH_RETRY_MS = 200;

/**
 * Runs three entries in three zones, three engines and two plain services with their sides, and the stand-ins. Entries
 * and sides are separate processes. The engines, the services and the stand-ins share one process.
 */
export class FaultsTestBed {
    readonly model = MODEL;
    readonly key = OPERATOR_KEY;
    readonly entries: ManagedProcess[] = [];
    readonly sides: ManagedProcess[] = [];
    readonly entryUrls: string[] = [];
    readonly engineUrls: string[] = [];
    readonly serviceUrls: string[] = [];
    keyValueUrl = "";
    private readonly plan: FaultsPlan;
    private instanceListUrl = "";
    private platform: LaunchedProcess | undefined;

    constructor(plan: FaultsPlan) {
        this.plan = plan;
    }

    /**
     * Starts all processes and publishes the service file. Rejects with BENCH_NOT_PUBLISHED if the 50th attempt to
     * publish also returns an HTTP status other than 200.
     */
    async start(): Promise<void> {
        await this.startPlatform();
        for (const zone of ZONES) {
            await this.startEntry(zone);
        }
        await Promise.all([
            ...this.engineUrls.map((url, index) =>
                this.startSide(`engine-side-${index}`, "chat", "model-engine", url, index)
            ),
            ...this.serviceUrls.map((url, index) =>
                this.startSide(`ledger-side-${index}`, "ledger", "plain", url, index)
            ),
        ]);
        await this.publish();
    }

    async stop(): Promise<void> {
        await Promise.all([...this.sides, ...this.entries].map(process => process.stop()));
        await this.platform?.stop();
    }

    private async startPlatform(): Promise<void> {
        const keyValuePort = await freePort();
        const instanceListPort = await freePort();
        const enginePorts = await freePorts(ENGINE_COUNT);
        const servicePorts = await freePorts(SERVICE_COUNT);
        this.platform = await launchProcess({
            name: "platform",
            folder: this.plan.folder,
            mainFile: fileURLToPath(new URL("./platformMain.js", import.meta.url)),
            settings: { seed: this.plan.seed, model: MODEL, keyValuePort, instanceListPort, enginePorts, servicePorts },
            readiness: { kind: "port", port: instanceListPort },
        });
        this.keyValueUrl = urlOf(keyValuePort);
        this.instanceListUrl = urlOf(instanceListPort);
        this.engineUrls.push(...enginePorts.map(urlOf));
        this.serviceUrls.push(...servicePorts.map(urlOf));
    }

    private async startEntry(zone: string): Promise<void> {
        const name = `entry-${zone}`;
        const port = await freePort();
        const entry = new ManagedProcess({
            name,
            folder: this.plan.folder,
            mainFile: fileURLToPath(import.meta.resolve("@knapweedwood/daemons.entry/main")),
            settings: {
                ...identity(name, zone, await freePort()),
                http: { host: HOST, port },
                platform: { keyValueUrl: this.keyValueUrl, instanceListUrl: this.instanceListUrl },
                bootstrapKeyHash: createHash("sha256").update(OPERATOR_KEY).digest("hex"),
                dataFolder: path.join(this.plan.folder, `data-${zone}`),
                batch: { segmentStore: "data-folders" },
            },
            readiness: { kind: "port", port },
        });
        await entry.start();
        this.entries.push(entry);
        this.entryUrls.push(urlOf(port));
    }

    private async startSide(name: string, service: string, kind: string, url: string, index: number): Promise<void> {
        const linkPort = await freePort();
        const side = new ManagedProcess({
            name,
            folder: this.plan.folder,
            mainFile: fileURLToPath(import.meta.resolve("@knapweedwood/daemons.side/main")),
            settings: {
                ...identity(name, ZONES[index % ZONES.length], linkPort),
                service,
                upstream: { kind, url },
                platform: { instanceListUrl: this.instanceListUrl },
            },
            readiness: { kind: "port", port: linkPort },
        });
        await side.start();
        this.sides.push(side);
    }

    private async publish(): Promise<void> {
        for (let attempt = 0; attempt < PUBLISH_ATTEMPTS; attempt++) {
            const response = await request(`${this.entryUrls[0]}/admin/v1/configuration/publish`, {
                method: "POST",
                headers: { "content-type": "application/json", authorization: `Bearer ${OPERATOR_KEY}` },
                body: JSON.stringify({
                    files: [{ path: "knapweed.yaml", text: serviceFile(MODEL) }],
                    message: "bench",
                }),
            });
            const text = await response.body.text();
            if (response.statusCode === 200) {
                return;
            }
            if (attempt === PUBLISH_ATTEMPTS - 1) {
                throw new KnapweedError("BENCH_NOT_PUBLISHED", text);
            }
            await sleep(PUBLISH_RETRY_MS);
        }
    }
}

function identity(instanceId: string, zone: string, linkPort: number) {
    return { instanceId, region: "bench", zone, link: { host: HOST, port: linkPort }, logs: { level: "warn" } };
}

function urlOf(port: number): string {
    return `http://${HOST}:${port}`;
}

async function freePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        ports.push(await freePort());
    }
    return ports;
}
