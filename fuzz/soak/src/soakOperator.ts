import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { FleetConfiguration } from "@knapweedwood/fleet.view/fleetConfiguration";
import type { RequestKind } from "@knapweedwood/fleet.view/requestKind";
import type { Route } from "@knapweedwood/fleet.view/route";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import { encodeConfiguration } from "@knapweedwood/platform.standins/encodeConfiguration";
import { encodeUpstream } from "@knapweedwood/platform.standins/encodeUpstream";
import type { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { jobRoutes } from "./jobRoutes.js";
import { ANSWER_SERVICE, CALLERS_HOST, MODEL_SERVICE } from "./soakNames.js";
import type { SoakRecord } from "./soakRecord.js";
import type { SoakTeams } from "./soakTeams.js";
import type { SoakUpstream } from "./soakUpstream.js";
import type { UpstreamSizes } from "./upstreamSizes.js";

const TIMEOUT_MS = 2500;
const OBJECTIVE_MS = 300;
const MAX_CONNECTIONS = 200;

/** Writes configurations and upstream entries to the key-value service, as operators and upstreams do. */
export class SoakOperator {
    private readonly keyValueService: MemoryKeyValueService;
    private readonly record: SoakRecord;
    private readonly nowMs: () => number;
    /** Undefined for a deployment without teams. */
    private readonly teams: SoakTeams | undefined;
    private readonly upstreamSizes: UpstreamSizes;
    private version = 0;

    constructor(opts: {
        keyValueService: MemoryKeyValueService;
        record: SoakRecord;
        upstreamSizes: UpstreamSizes;
        nowMs: () => number;
        teams?: SoakTeams | undefined;
    }) {
        this.teams = opts.teams;
        this.upstreamSizes = opts.upstreamSizes;
        this.keyValueService = opts.keyValueService;
        this.record = opts.record;
        this.nowMs = opts.nowMs;
    }

    /** The newest configuration version whose write has begun. */
    get newestVersion(): number {
        return this.version;
    }

    /** Writes the next configuration. It differs in the route that is named after its version and in the teams. */
    async writeNextConfiguration(): Promise<void> {
        this.version += 1;
        const { version } = this;
        const writtenAtMs = this.nowMs();
        const value = encodeConfiguration(this.configurationOf(version));
        await this.keyValueService.transact([], [{ kind: "put", key: wireKeys.configuration, value }]);
        this.record.versions.push({ version, writtenAtMs, ackedAtMs: this.nowMs() });
    }

    /** Writes the entry of an upstream. Records the acknowledgement if the upstream drains. */
    async announce(upstream: SoakUpstream): Promise<void> {
        const key = `${wireKeys.upstreams}${upstream.id}`;
        await this.keyValueService.transact([], [{ kind: "put", key, value: this.entryOf(upstream) }]);
        if (upstream.announcement.state === "draining") {
            this.record.drains.push({ upstreamId: upstream.id, ackedAtMs: this.nowMs() });
        }
    }

    private entryOf(upstream: SoakUpstream): Buffer {
        return encodeUpstream(upstream.announcement, { adapters: this.upstreamSizes.adapters });
    }

    /** Deletes the entry of an upstream. */
    async remove(upstream: SoakUpstream): Promise<void> {
        await this.keyValueService.transact([], [{ kind: "delete", key: `${wireKeys.upstreams}${upstream.id}` }]);
    }

    private configurationOf(version: number): FleetConfiguration {
        return {
            version,
            routes: [
                this.routeOf("fetch", "idempotent", ANSWER_SERVICE, {}),
                this.routeOf("book", "non-idempotent", ANSWER_SERVICE, {}),
                this.routeOf("stream", "stream", MODEL_SERVICE, { isResumable: true, maxEventGapMs: 250 }),
                this.routeOf("stream-once", "stream", MODEL_SERVICE, { maxEventGapMs: 250 }),
                ...jobRoutes.map(({ name, dueMs, retentionMs }) =>
                    this.routeOf(name, "batch", MODEL_SERVICE, { jobDueMs: dueMs, jobRetentionMs: retentionMs })
                ),
                this.routeOf(`only-${version}`, "idempotent", ANSWER_SERVICE, {}),
            ],
            services: [MODEL_SERVICE, ANSWER_SERVICE]
                .map(name => ({ name: name as ServiceName, maxConnections: MAX_CONNECTIONS })),
            limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 10_000 },
            teams: this.teams?.advance(version),
        };
    }

    private routeOf(name: string, kind: RequestKind, service: string, overrides: Partial<Route>): Route {
        this.record.servicesOfPrefix.set(`/${name}/`, service);
        return {
            name,
            host: CALLERS_HOST,
            prefix: `/${name}/`,
            kind,
            services: [{ service: service as ServiceName, weight: 1 }],
            timeoutMs: TIMEOUT_MS,
            objectiveMs: OBJECTIVE_MS,
            maxAttempts: 3,
            priority: 0,
            isAnonymous: false,
            isResumable: false,
            maxEventGapMs: undefined,
            jobDueMs: undefined,
            jobRetentionMs: undefined,
            maxWaitingTokens: undefined,
            ...overrides,
        };
    }
}
