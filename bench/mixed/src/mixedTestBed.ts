import { freePort } from "@knapweedwood/bench.load/freePort";
import type { LaunchedProcess } from "@knapweedwood/bench.load/launchedProcess";
import type { LaunchOptions } from "@knapweedwood/bench.load/launchOptions";
import { launchProcess } from "@knapweedwood/bench.load/launchProcess";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { EngineTotals } from "@knapweedwood/standins.engine/engineTotals";
import type { StepModel } from "@knapweedwood/standins.engine/stepModel";
import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { serviceFileOf } from "./serviceFileOf.js";
import { sumTotals } from "./sumTotals.js";

const HOST = "127.0.0.1";
const ENTRIES = 2;
const READY_TIMEOUT_MS = 60_000;
const READY_CHECK_INTERVAL_MS = 100;
const CHECKS_PER_ENTRY = 4;
const OK = 200;

interface SideGroup {
    service: string;
    admissionPolicy: string;
    engines: number[];
}

/**
 * Runs two entries, the engines, and a side next to each engine for each service on it, each in a separate process. The
 * platform's stand-ins share one process.
 */
export class MixedTestBed {
    readonly operatorKey = "bench-operator-key";
    readonly entryUrls: string[] = [];
    private readonly opts: {
        folder: string;
        seed: number;
        engineCount: number;
        stepModel: StepModel;
        tokenGapObjectiveMs: number;
        batchBalance: number;
        models: string[];
        metricsPort: number | undefined;
    };
    private readonly processes: LaunchedProcess[] = [];
    private readonly engineUrls: string[] = [];
    private lastErrorText = "";
    private platform = { keyValueUrl: "", instanceListUrl: "" };

    constructor(opts: MixedTestBed["opts"]) {
        this.opts = opts;
    }

    /** Starts all processes, publishes the service file and waits until both entries serve every model. */
    async start(): Promise<void> {
        await this.startPlatform();
        await Promise.all(Array.from({ length: this.opts.engineCount }, (_, index) => this.startEngine(index)));
        for (let index = 0; index < ENTRIES; index += 1) {
            await this.startEntry(index);
        }
        await this.publish();
        await Promise.all(this.sideGroups().map(group => this.startSides(group)));
        await this.waitUntilServing();
    }

    /** Stops all processes. */
    async stop(): Promise<void> {
        await Promise.all(this.processes.toReversed().map(launched => launched.stop()));
    }

    /** Returns the summed totals of all engines so far. */
    async totals(): Promise<EngineTotals> {
        const responses = await Promise.all(this.engineUrls.map(url => request(`${url}/__totals`)));
        return sumTotals(await Promise.all(responses.map(response => response.body.json() as Promise<EngineTotals>)));
    }

    /** Sends a request to the API of the first entry. Throws `BENCH_CALL_FAILED` unless the status is 200. */
    async call(method: "GET" | "POST", path: string, body?: string | Uint8Array, contentType = "application/json") {
        const response = await request(`${this.entryUrls[0]}${path}`, {
            method,
            headers: { authorization: `Bearer ${this.operatorKey}`, "content-type": contentType },
            body,
        });
        const text = await response.body.text();
        if (response.statusCode !== OK) {
            throw new KnapweedError("BENCH_CALL_FAILED", `${method} ${path}: ${response.statusCode} ${text}`);
        }
        return JSON.parse(text) as { [field: string]: unknown; };
    }

    private sideGroups(): SideGroup[] {
        const engines = this.engineUrls.map((_, index) => index);
        const half = Math.floor(engines.length / 2);
        const policy = (service: string) => service === "mixed" ? "online-first" : "first-come-first-served";
        return [
            { service: "mixed", engines },
            { service: "shared", engines },
            { service: "desk", engines: engines.slice(0, half) },
            { service: "lots", engines: engines.slice(half) },
        ]
            .filter(group => this.opts.models.includes(group.service))
            .map(group => ({ ...group, admissionPolicy: policy(group.service) }));
    }

    private async startPlatform(): Promise<void> {
        const keyValuePort = await freePort();
        const instanceListPort = await freePort();
        await this.launch({
            name: "platform",
            mainFile: fileURLToPath(import.meta.resolve("@knapweedwood/bench.overhead/platformMain")),
            settings: { keyValuePort, instanceListPort },
            readiness: { kind: "port", port: instanceListPort },
        });
        this.platform = {
            keyValueUrl: `http://${HOST}:${keyValuePort}`,
            instanceListUrl: `http://${HOST}:${instanceListPort}`,
        };
    }

    private async startEngine(index: number): Promise<void> {
        const port = await freePort();
        this.engineUrls[index] = `http://${HOST}:${port}`;
        await this.launch({
            name: `engine-${index}`,
            mainFile: fileURLToPath(new URL("./engineMain.js", import.meta.url)),
            settings: { port, seed: this.opts.seed + index, models: this.opts.models, stepModel: this.opts.stepModel },
            readiness: { kind: "url", url: `http://${HOST}:${port}/v1/models` },
        });
    }

    private async startEntry(index: number): Promise<void> {
        const port = await freePort();
        this.entryUrls.push(`http://${HOST}:${port}`);
        await this.launch({
            name: `entry-${index}`,
            mainFile: fileURLToPath(import.meta.resolve("@knapweedwood/daemons.entry/main")),
            settings: {
                ...identityOf(`entry-${index}`),
                link: { host: HOST, port: 0 },
                http: { host: HOST, port },
                platform: this.platform,
                bootstrapKeyHash: createHash("sha256").update(this.operatorKey).digest("hex"),
            },
            readiness: { kind: "url", url: `http://${HOST}:${port}/readyz` },
        });
    }

    private async startSides(group: SideGroup): Promise<void> {
        for (const index of group.engines) {
            const port = await freePort();
            await this.launch({
                name: `side-${group.service}-${index}`,
                mainFile: fileURLToPath(import.meta.resolve("@knapweedwood/daemons.side/main")),
                settings: {
                    ...identityOf(`side-${group.service}-${index}`),
                    link: { host: HOST, port },
                    service: group.service,
                    admissionPolicy: group.admissionPolicy,
                    metrics: this.opts.metricsPort === undefined
                        ? undefined
                        : { host: HOST, port: this.opts.metricsPort },
                    upstream: { kind: "model-engine", url: this.engineUrls[index] },
                    platform: { instanceListUrl: this.platform.instanceListUrl },
                },
                readiness: { kind: "port", port },
            });
        }
    }

    private async publish(): Promise<void> {
        const text = serviceFileOf(this.opts);
        await this.call(
            "POST",
            "/admin/v1/configuration/publish",
            JSON.stringify({ files: [{ path: "knapweed.yaml", text }], message: "bench" }),
        );
    }

    private async waitUntilServing(): Promise<void> {
        const endMs = performance.now() + READY_TIMEOUT_MS;
        const checks = this.opts.models.flatMap(model =>
            this.entryUrls.flatMap(url => Array.from({ length: CHECKS_PER_ENTRY }, () => ({ model, url })))
        );
        for (const check of checks) {
            while (!await this.acceptsCall(check)) {
                if (performance.now() > endMs) {
                    throw new KnapweedError(
                        "NOT_READY",
                        `Model ${check.model} did not become available before the timeout: ${this.lastErrorText}`,
                    );
                }
                await sleep(READY_CHECK_INTERVAL_MS);
            }
        }
    }

    private async acceptsCall(opts: { url: string; model: string; }): Promise<boolean> {
        const response = await request(`${opts.url}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${this.operatorKey}`, "content-type": "application/json" },
            body: JSON.stringify({
                model: opts.model,
                messages: [{ role: "user", content: "ready?" }],
                max_tokens: 1,
            }),
        });
        const text = await response.body.text();
        this.lastErrorText = response.statusCode === OK ? "" : text;
        return response.statusCode === OK;
    }

    private async launch(opts: Omit<LaunchOptions, "folder">): Promise<void> {
        this.processes.push(await launchProcess({ ...opts, folder: this.opts.folder }));
    }
}

function identityOf(instanceId: string) {
    return { instanceId, region: "bench", zone: "bench-a", logs: { level: "warn" } };
}
