import { freePort } from "@knapweedwood/bench.load/freePort";
import { launchProcess } from "@knapweedwood/bench.load/launchProcess";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { InstanceListServer } from "@knapweedwood/standins.instance-list/instanceListServer";
import { KeyValueServer } from "@knapweedwood/standins.key-value/keyValueServer";
import { createHash } from "node:crypto";
import { fileURLToPath } from "node:url";
import type { ConfigChurnOptions } from "./configChurnOptions.js";
import type { Life } from "./life.js";

const HOST = "127.0.0.1";
const ZONES = ["a", "b", "c"];
const ENTRIES_SHARE = 0.2;
const MIN_ENTRIES = 3;
const LIST_LAG_MS = 500;
const LIST_TTL_MS = 6_000;
const LAUNCHES_AT_ONCE = 6;
const NOBODY_LISTENS = `http://${HOST}:9`;

interface Place {
    instanceId: string;
    kind: "entry" | "side";
    zone: string;
    linkPort: number;
    httpPort: number;
}

/** Daemons as processes of their own, with the platform's stand-ins in this process. */
export class ChurnFleet {
    readonly operatorKey = "bench-operator-key";
    readonly keyValue: KeyValueServer;
    /** Every life so far. */
    readonly lives: Life[] = [];
    private readonly opts: ConfigChurnOptions;
    private readonly clock = new SystemClock();
    private readonly instanceList: InstanceListServer;
    private readonly places = new Map<string, Place>();
    private readonly urls = { keyValueUrl: "", instanceListUrl: "" };

    constructor(opts: ConfigChurnOptions) {
        this.opts = opts;
        this.keyValue = new KeyValueServer({ clock: this.clock });
        this.instanceList = new InstanceListServer({ clock: this.clock, lagMs: LIST_LAG_MS, ttlMs: LIST_TTL_MS });
    }

    async start(): Promise<void> {
        this.urls.keyValueUrl = `http://${HOST}:${await this.keyValue.listen({ host: HOST, port: 0 })}`;
        this.urls.instanceListUrl = `http://${HOST}:${await this.instanceList.listen({ host: HOST, port: 0 })}`;
        const entryCount = Math.max(MIN_ENTRIES, Math.round(this.opts.processes * ENTRIES_SHARE));
        for (let n = 0; n < this.opts.processes; n += 1) {
            const kind = n < entryCount ? "entry" : "side";
            const instanceId = `${kind}-${n}`;
            const zone = ZONES[n % ZONES.length] ?? "a";
            const [linkPort, httpPort] = [await freePort(), await freePort()];
            this.places.set(instanceId, { instanceId, kind, zone, linkPort, httpPort });
        }
        const ids = [...this.places.keys()];
        for (let begin = 0; begin < ids.length; begin += LAUNCHES_AT_ONCE) {
            await Promise.all(ids.slice(begin, begin + LAUNCHES_AT_ONCE).map(instanceId => this.launch(instanceId)));
        }
    }

    async stop(): Promise<void> {
        await Promise.all(this.living().map(life => this.kill(life)));
        await this.keyValue.close();
        await this.instanceList.close();
    }

    living(): Life[] {
        return this.lives.filter(life => life.endedAtMs === undefined);
    }

    /** Ends a process at once. */
    async kill(life: Life): Promise<void> {
        life.endedAtMs = this.clock.nowMs();
        await life.launched.kill();
    }

    /** Starts a new process for an instance, at the same address. */
    async launch(instanceId: string): Promise<void> {
        const place = this.places.get(instanceId) as Place;
        const startedAtMs = this.clock.nowMs();
        const isEntry = place.kind === "entry";
        const launched = await launchProcess({
            name: `${instanceId}-${this.lives.filter(life => life.instanceId === instanceId).length + 1}`,
            folder: this.opts.folder,
            mainFile: fileURLToPath(import.meta.resolve(`@knapweedwood/daemons.${place.kind}/main`)),
            settings: isEntry ? this.entrySettings(place) : this.sideSettings(place),
            readiness: isEntry
                ? { kind: "url", url: `http://${HOST}:${place.httpPort}/livez` }
                : { kind: "port", port: place.linkPort },
        });
        this.lives.push({
            instanceId,
            kind: place.kind,
            launched,
            startedAtMs,
            endedAtMs: undefined,
            pauses: [],
            url: isEntry ? `http://${HOST}:${place.httpPort}` : undefined,
        });
    }

    private entrySettings(place: Place): object {
        return {
            ...commonSettings(place),
            http: { host: HOST, port: place.httpPort },
            platform: this.urls,
            bootstrapKeyHash: createHash("sha256").update(this.operatorKey).digest("hex"),
        };
    }

    private sideSettings(place: Place): object {
        return {
            ...commonSettings(place),
            service: "nobody",
            upstream: { kind: "plain", url: NOBODY_LISTENS },
            platform: { instanceListUrl: this.urls.instanceListUrl },
        };
    }
}

function commonSettings(place: Place): object {
    return {
        instanceId: place.instanceId,
        region: "bench",
        zone: place.zone,
        link: { host: HOST, port: place.linkPort },
        logs: { level: "info" },
    };
}
