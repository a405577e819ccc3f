import { freePort } from "@knapweedwood/bench.load/freePort";
import type { LaunchedProcess } from "@knapweedwood/bench.load/launchedProcess";
import type { LaunchOptions } from "@knapweedwood/bench.load/launchOptions";
import { launchProcess } from "@knapweedwood/bench.load/launchProcess";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { ChatClient } from "./chatClient.js";
import type { ChatTarget } from "./chatTarget.js";
import type { OverheadPlan } from "./overheadPlan.js";

const HOST = "127.0.0.1";
const MODEL = "bench-chat";
const SERVICE = "bench";
const OPERATOR_KEY = "bench-operator-key";
const READY_TIMEOUT_MS = 30_000;
const READY_CHECK_INTERVAL_MS = 100;
const CONSECUTIVE_RESPONSES = 20;

/**
 * Runs engines with their sides, one entry, the pass-through and an empty process, each in a separate process. The
 * platform's stand-ins share one process.
 */
export class TestBed {
    readonly model = MODEL;
    readonly direct: ChatTarget = { baseUrls: [] };
    readonly passThrough: ChatTarget = { baseUrls: [] };
    readonly throughEntry: ChatTarget = { baseUrls: [], key: OPERATOR_KEY };
    readonly sides: LaunchedProcess[] = [];
    private readonly plan: OverheadPlan;
    private readonly processes: LaunchedProcess[] = [];
    private entryProcess: LaunchedProcess | undefined;
    private emptyProcess: LaunchedProcess | undefined;

    constructor(plan: OverheadPlan) {
        this.plan = plan;
    }

    get entry(): LaunchedProcess {
        return requireStarted(this.entryProcess);
    }

    get empty(): LaunchedProcess {
        return requireStarted(this.emptyProcess);
    }

    /** Starts all processes, publishes the service file and waits until the entry serves calls reliably. */
    async start(): Promise<void> {
        const keyValuePort = await freePort();
        const instanceListPort = await freePort();
        await this.launch({
            name: "platform",
            mainFile: mainFileOf("platformMain"),
            settings: { keyValuePort, instanceListPort },
            readiness: { kind: "port", port: instanceListPort },
        });
        const instanceListUrl = `http://${HOST}:${instanceListPort}`;
        await this.startEntry({ keyValueUrl: `http://${HOST}:${keyValuePort}`, instanceListUrl });
        const enginePorts: number[] = [];
        for (let index = 0; index < this.plan.engineCount; index += 1) {
            enginePorts.push(await this.startEngine(index, instanceListUrl));
        }
        await this.startPassThrough(enginePorts);
        this.emptyProcess = await this.launch({ name: "empty", mainFile: mainFileOf("emptyMain") });
        await this.publish();
        await this.waitUntilServing();
    }

    /** Stops the entry and the sides gracefully, then the processes on which they depend. */
    async stop(): Promise<void> {
        const dependents = [...this.sides, ...this.entryProcess === undefined ? [] : [this.entryProcess]];
        await Promise.all(dependents.map(launched => launched.stop()));
        await Promise.all(this.processes.map(launched => launched.stop()));
    }

    private async startEntry(platform: { keyValueUrl: string; instanceListUrl: string; }): Promise<void> {
        const port = await freePort();
        const baseUrl = `http://${HOST}:${port}`;
        this.entryProcess = await this.launch({
            name: "entry",
            mainFile: fileURLToPath(import.meta.resolve("@knapweedwood/daemons.entry/main")),
            nodeArguments: this.profileArguments(),
            settings: {
                ...identityOf("entry-1"),
                http: { host: HOST, port },
                platform,
                bootstrapKeyHash: createHash("sha256").update(OPERATOR_KEY).digest("hex"),
            },
            readiness: { kind: "url", url: `${baseUrl}/readyz` },
        });
        this.throughEntry.baseUrls.push(baseUrl);
    }

    private async startEngine(index: number, instanceListUrl: string): Promise<number> {
        const port = await freePort();
        await this.launch({
            name: `engine-${index + 1}`,
            mainFile: mainFileOf("engineMain"),
            settings: { port, seed: this.plan.seed + index, model: MODEL },
            readiness: { kind: "url", url: `http://${HOST}:${port}/v1/models` },
        });
        this.direct.baseUrls.push(`http://${HOST}:${port}`);
        const linkPort = await freePort();
        const side = await this.launch({
            name: `side-${index + 1}`,
            mainFile: fileURLToPath(import.meta.resolve("@knapweedwood/daemons.side/main")),
            nodeArguments: index === 0 ? this.profileArguments() : [],
            settings: {
                ...identityOf(`side-${index + 1}`),
                link: { host: HOST, port: linkPort },
                service: SERVICE,
                upstream: { kind: "model-engine", url: `http://${HOST}:${port}` },
                platform: { instanceListUrl },
            },
            readiness: { kind: "port", port: linkPort },
        });
        this.sides.push(side);
        return port;
    }

    private async startPassThrough(enginePorts: number[]): Promise<void> {
        const port = await freePort();
        await this.launch({
            name: "pass-through",
            mainFile: mainFileOf("passThroughMain"),
            settings: { port, enginePorts },
            readiness: { kind: "port", port },
        });
        this.passThrough.baseUrls.push(`http://${HOST}:${port}`);
    }

    private async launch(opts: Omit<LaunchOptions, "folder">): Promise<LaunchedProcess> {
        const launched = await launchProcess({ ...opts, folder: this.plan.folder });
        this.processes.push(launched);
        return launched;
    }

    private profileArguments(): string[] {
        return this.plan.isProfiled ? ["--cpu-prof", `--cpu-prof-dir=${this.plan.folder}`] : [];
    }

    private async publish(): Promise<void> {
        const response = await request(`${this.throughEntry.baseUrls[0]}/admin/v1/configuration/publish`, {
            method: "POST",
            headers: { "content-type": "application/json", authorization: `Bearer ${OPERATOR_KEY}` },
            body: JSON.stringify({ files: [{ path: "knapweed.yaml", text: serviceFile() }], message: "bench" }),
        });
        const text = await response.body.text();
        if (response.statusCode !== 200) {
            throw new KnapweedError("BENCH_NOT_PUBLISHED", text);
        }
    }

    private async waitUntilServing(): Promise<void> {
        const client = new ChatClient({ target: this.throughEntry, model: MODEL });
        const endMs = performance.now() + READY_TIMEOUT_MS;
        let succeeded = 0;
        while (succeeded < CONSECUTIVE_RESPONSES) {
            try {
                await client.complete(1);
                succeeded += 1;
            }
            catch (error) {
                succeeded = 0;
                if (performance.now() > endMs) {
                    throw error;
                }
                await sleep(READY_CHECK_INTERVAL_MS);
            }
        }
        await client.close();
    }
}

function identityOf(instanceId: string) {
    return { instanceId, region: "bench", zone: "bench-a", link: { host: HOST, port: 0 }, logs: { level: "warn" } };
}

function mainFileOf(name: string): string {
    return fileURLToPath(new URL(`./${name}.js`, import.meta.url));
}

function serviceFile(): string {
    return [
        "teams:",
        "  - teamId: bench",
        "    displayName: Bench",
        "services:",
        `  - name: ${SERVICE}`,
        "    team: bench",
        "    kind: model-engine",
        "    models:",
        `      - { name: ${MODEL}, version: "1" }`,
        "    repeatable: true",
        "    deadlineMs: 60000",
        "",
    ].join("\n");
}

function requireStarted(launched: LaunchedProcess | undefined): LaunchedProcess {
    if (launched === undefined) {
        throw new KnapweedError("BENCH_NOT_STARTED", "The processes have not been started.");
    }
    return launched;
}
