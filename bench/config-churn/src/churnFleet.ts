import { freePort } from "@knapweedwood/bench.load/freePort";
import { launchProcess } from "@knapweedwood/bench.load/launchProcess";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { InstanceListServer } from "@knapweedwood/standins.instance-list/instanceListServer";
import { KeyValueServer } from "@knapweedwood/standins.key-value/keyValueServer";
import { createHash } from "node:crypto";
import { fileURLToPath } from "node:url";
import type { ConfigChurnOptions } from "./configChurnOptions.js";
import type { ProcessRun } from "./processRun.js";

const HOST = "127.0.0.1";
const ZONES = ["a", "b", "c"];
const ENTRY_SHARE = 0.2;
const MIN_ENTRIES = 3;
const INSTANCE_LIST_LAG_MS = 500;
const INSTANCE_LIST_TTL_MS = 6_000;
const MAX_CONCURRENT_LAUNCHES = 6;
const UNREACHABLE_URL = `http://${HOST}:9`;

interface DaemonSpec {
    instanceId: string;
    kind: "entry" | "side";
    zone: string;
    linkPort: number;
    httpPort: number;
}

/** Runs daemons as separate processes and the platform's stand-ins in this process. */
export class ChurnFleet {
    readonly operatorKey = "bench-operator-key";
    readonly keyValue: KeyValueServer;
    /** Runs of all processes, including those that have ended. */
    readonly runs: ProcessRun[] = [];
    private readonly opts: ConfigChurnOptions;
    private readonly clock = new SystemClock();
    private readonly instanceList: InstanceListServer;
    private readonly daemonSpecs = new Map<string, DaemonSpec>();
    private readonly urls = { keyValueUrl: "", instanceListUrl: "" };

    constructor(opts: ConfigChurnOptions) {
        this.opts = opts;
        this.keyValue = new KeyValueServer({ clock: this.clock });
        this.instanceList = new InstanceListServer({
            clock: this.clock,
            lagMs: INSTANCE_LIST_LAG_MS,
            ttlMs: INSTANCE_LIST_TTL_MS,
        });
    }

    async start(): Promise<void> {
        this.urls.keyValueUrl = `http://${HOST}:${await this.keyValue.listen({ host: HOST, port: 0 })}`;
        this.urls.instanceListUrl = `http://${HOST}:${await this.instanceList.listen({ host: HOST, port: 0 })}`;
        const entryCount = Math.max(MIN_ENTRIES, Math.round(this.opts.processes * ENTRY_SHARE));
        for (let n = 0; n < this.opts.processes; n += 1) {
            const kind = n < entryCount ? "entry" : "side";
            const instanceId = `${kind}-${n}`;
            const zone = ZONES[n % ZONES.length] ?? "a";
            const [linkPort, httpPort] = [await freePort(), await freePort()];
            this.daemonSpecs.set(instanceId, { instanceId, kind, zone, linkPort, httpPort });
        }
        const ids = [...this.daemonSpecs.keys()];
        for (let begin = 0; begin < ids.length; begin += MAX_CONCURRENT_LAUNCHES) {
            await Promise.all(
                ids.slice(begin, begin + MAX_CONCURRENT_LAUNCHES).map(instanceId => this.launch(instanceId)),
            );
        }
    }

    async stop(): Promise<void> {
        await Promise.all(this.runningProcesses().map(run => this.kill(run)));
        await this.keyValue.close();
        await this.instanceList.close();
    }

    /** Returns the runs that have not ended. */
    runningProcesses(): ProcessRun[] {
        return this.runs.filter(run => run.endedAtMs === undefined);
    }

    /** Kills a process and records the end of its run. */
    async kill(run: ProcessRun): Promise<void> {
        run.endedAtMs = this.clock.nowMs();
        await run.launched.kill();
    }

    /** Starts a process for an instance. A restarted instance keeps its address. */
    async launch(instanceId: string): Promise<void> {
        const spec = this.daemonSpecs.get(instanceId) as DaemonSpec;
        const startedAtMs = this.clock.nowMs();
        const isEntry = spec.kind === "entry";
        const launched = await launchProcess({
            name: `${instanceId}-${this.runs.filter(run => run.instanceId === instanceId).length + 1}`,
            folder: this.opts.folder,
            mainFile: fileURLToPath(import.meta.resolve(`@knapweedwood/daemons.${spec.kind}/main`)),
            settings: isEntry ? this.entrySettings(spec) : this.sideSettings(spec),
            readiness: isEntry
                ? { kind: "url", url: `http://${HOST}:${spec.httpPort}/livez` }
                : { kind: "port", port: spec.linkPort },
        });
        this.runs.push({
            instanceId,
            kind: spec.kind,
            launched,
            startedAtMs,
            endedAtMs: undefined,
            pauses: [],
            url: isEntry ? `http://${HOST}:${spec.httpPort}` : undefined,
        });
    }

    private entrySettings(spec: DaemonSpec): object {
        return {
            ...commonSettings(spec),
            http: { host: HOST, port: spec.httpPort },
            platform: this.urls,
            bootstrapKeyHash: createHash("sha256").update(this.operatorKey).digest("hex"),
        };
    }

    private sideSettings(spec: DaemonSpec): object {
        return {
            ...commonSettings(spec),
            service: "nobody",
            upstream: { kind: "plain", url: UNREACHABLE_URL },
            platform: { instanceListUrl: this.urls.instanceListUrl },
        };
    }
}

function commonSettings(spec: DaemonSpec): object {
    return {
        instanceId: spec.instanceId,
        region: "bench",
        zone: spec.zone,
        link: { host: HOST, port: spec.linkPort },
        logs: { level: "info" },
    };
}
