import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { DisplacementWaits } from "@knapweedwood/fleet.load/displacementWaits";
import { LeastLoadedPlacement } from "@knapweedwood/fleet.load/leastLoadedPlacement";
import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import { RequestQueue } from "@knapweedwood/fleet.load/requestQueue";
import { ServiceTimes } from "@knapweedwood/fleet.load/serviceTimes";
import { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import { MemoryBudget } from "@knapweedwood/fleet.memory/memoryBudget";
import { PromptCacheCost } from "@knapweedwood/fleet.prompts/promptCacheCost";
import { RequestQuarantine } from "@knapweedwood/fleet.quarantine/requestQuarantine";
import type { StreamOrigins } from "@knapweedwood/fleet.streams/streamOrigins";
import { UpstreamRequestLimiter } from "@knapweedwood/fleet.upstream-limits/upstreamRequestLimiter";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Team } from "@knapweedwood/fleet.view/team";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { UpstreamDirectory } from "@knapweedwood/fleet.view/upstreamDirectory";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { FleetRateLimiter } from "@knapweedwood/routing.limits/fleetRateLimiter";
import { type ClientRequest, type IncomingMessage, request as sendRequest } from "node:http";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { CallerProtocol } from "../src/callerProtocol.js";
import type { GatewayContext } from "../src/gatewayContext.js";
import { GatewayServer } from "../src/gatewayServer.js";
import type { JobRoutes } from "../src/jobRoutes.js";

/** Time since the start of the gateway. Just after it, buckets are full. */
const STARTED_BEFORE_MS = 10_000;

const DISPATCH_INTERVAL_MS = 20;

const headers = {
    requestId: "x-request-id",
    remainingMs: "x-remaining",
    expectedUpstream: "x-expected",
    expectedVersion: "x-version",
    notRun: "x-not-run",
    leaving: "x-leaving",
    requestLimit: "x-limit",
    key: "x-key",
    team: "x-team",
    promptParts: "x-parts",
    tokenCounts: "x-tokens",
    upstreamProof: "x-proof",
    lastEventId: "last-event-id",
    resumedRequestId: "resumes",
    waitMs: "x-wait",
    retryAfter: "retry-after",
};

const defaultRoute: Route = {
    name: "r",
    host: "host.example",
    prefix: "/a/",
    kind: "idempotent",
    services: [{ service: "s" as Upstream["service"], weight: 1 }],
    timeoutMs: 2000,
    objectiveMs: 300,
    maxAttempts: 1,
    priority: 0,
    isAnonymous: false,
    isResumable: false,
    maxEventGapMs: undefined,
    jobDueMs: undefined,
    jobRetentionMs: undefined,
    maxWaitingTokens: undefined,
};

/** A response as received by a caller. */
interface ReceivedResponse {
    statusCode: number;
    headers: IncomingMessage["headers"];
    body: string;
    /** Whether the response ended properly according to HTTP. */
    isComplete: boolean;
}

const unknownOrigins: StreamOrigins = { record: () => undefined, lookUp: () => Promise.resolve(undefined) };

/** A gateway for tests, with stand-ins as its upstreams. */
export class GatewayTestBed {
    readonly connections: UpstreamConnections;
    readonly loadTracker = new LoadTracker();
    readonly directory = new UpstreamDirectory();
    readonly health = new UpstreamHealth();
    readonly memory: MemoryBudget;
    isStopping = false;
    /** Time at which the gateway ends what is still open, in milliseconds. */
    stopsAtMs = Infinity;
    readonly server: GatewayServer;
    private port = 0;
    private readonly dispatchTimer: NodeJS.Timeout;

    constructor(
        opts: {
            upstreams: Upstream[];
            route: Partial<Route>;
            /** Host of another caller, with a route of its own to the same service. */
            otherHost?: string;
            maxBodyBytes?: number;
            /** Bytes that the gateway may hold for its callers. */
            memoryBytes?: number;
            isConfigured?: boolean;
            isConfigurationCurrent?: boolean;
            teams?: Team[];
            /** Handles calls about jobs; without it there are none. */
            jobs?: { routes: JobRoutes; parse: CallerProtocol["parseJobCall"]; };
            origins?: StreamOrigins;
            decodePromptParts?: CallerProtocol["decodePromptParts"];
            soleVersion?: SoftwareVersion;
            logger?: Logger;
            metrics?: Metrics;
        },
    ) {
        const clock = new SystemClock();
        this.memory = new MemoryBudget({ limitBytes: opts.memoryBytes ?? 500_000_000 });
        const random = new SeededRandom(1);
        const configuration = new ActiveConfiguration();
        if (opts.isConfigured !== false) {
            const limits = {
                maxHeaderBytes: 4096,
                maxBodyBytes: opts.maxBodyBytes ?? 100_000,
                headerTimeoutMs: 3000,
                idleTimeoutMs: 5000,
            };
            const route = { ...defaultRoute, ...opts.route };
            const otherRoutes = opts.otherHost === undefined ? [] : [{ ...route, name: "other", host: opts.otherHost }];
            configuration.adopt({
                version: 1,
                routes: [route, ...otherRoutes],
                services: [],
                limits,
                teams: opts.teams,
            });
        }
        const limits = new UpstreamRequestLimiter({
            clock,
            random,
            logger: silentLogger,
            instanceName: "gateway" as InstanceName,
            limitHeader: headers.requestLimit,
            senders: () => [],
            isLive: () => true,
            waitingSenders: () => [],
        });
        this.connections = new UpstreamConnections(limits);
        const { loadTracker, connections, directory } = this;
        opts.upstreams.forEach(upstream => directory.put(upstream, clock.nowMs()));
        const serviceTimes = new ServiceTimes();
        const requestQueue = new RequestQueue({
            clock,
            random,
            loadTracker,
            serviceTimes,
            placement: new LeastLoadedPlacement({
                loadTracker,
                random,
                zone: "z" as Upstream["zone"],
                connectionShare: () => Infinity,
                placingPeers: () => 0,
                limits,
            }),
            limits,
            usableUpstreams: (service, softwareVersion) =>
                directory.ready(service).filter(upstream =>
                    [undefined, upstream.softwareVersion].includes(softwareVersion)
                ),
            teams: () => configuration.current?.teams,
        });
        const displacementWaits = new DisplacementWaits({ clock, loadTracker });
        this.dispatchTimer = setInterval(() => {
            requestQueue.dispatch();
            displacementWaits.dispatch();
        }, DISPATCH_INTERVAL_MS);
        const context: GatewayContext = {
            clock,
            random,
            logger: opts.logger ?? silentLogger,
            metrics: opts.metrics ?? silentMetrics,
            configuration,
            isConfigurationCurrent: () => opts.isConfigurationCurrent ?? true,
            connections,
            loadTracker,
            health: this.health,
            serviceTimes,
            speeds: new UpstreamSpeeds({ clock }),
            limits,
            requestQueue,
            displacementWaits,
            memory: this.memory,
            quarantine: new RequestQuarantine({
                clock,
                random,
                logger: silentLogger,
                publish: () => undefined,
                listedAtMs: () => -Infinity,
                upstreamCount: () => 3,
                store: () => undefined,
                remove: () => undefined,
                onChanged: () => queueMicrotask(() => requestQueue.dispatch()),
            }),
            rateLimiter: new FleetRateLimiter({
                startedAtMs: clock.nowMs() - STARTED_BEFORE_MS,
                isLimiting: () => opts.teams !== undefined,
                listedPeers: () => [],
                teamOf: teamId => configuration.teamWithId(teamId),
                onActive: () => undefined,
            }),
            promptCaches: new PromptCacheCost({
                speeds: new UpstreamSpeeds({ clock }),
                usableUpstreams: () => [],
                processes: () => 1,
            }),
            origins: opts.origins ?? unknownOrigins,
            soleVersion: () => Promise.resolve(opts.soleVersion),
            onUpstreamLeaving: upstream => directory.markLeaving(upstream, clock.nowMs()),
            headers,
            decodeSharedPromptParts: value => (value ?? "").split(",").slice(0, -1) as PromptPartId[],
            decodePromptParts: opts.decodePromptParts ?? (() => []),
            decodeMaxTokens: value => value === undefined ? undefined : Number(value),
            onLoadChanged: () => undefined,
            whenInitialized: () => Promise.resolve(),
            isStopping: () => this.isStopping,
            stopsAtMs: () => this.stopsAtMs,
        };
        const protocol = {
            headers,
            readinessPath: "/ready",
            parseJobCall: opts.jobs?.parse ?? (() => undefined),
        } as Partial<CallerProtocol>;
        this.server = new GatewayServer({
            context,
            protocol: protocol as CallerProtocol,
            jobs: opts.jobs?.routes ?? {} as JobRoutes,
        });
    }

    /** Another process may take the free port before the gateway does. */
    async listen(): Promise<void> {
        for (let isListening = false; !isListening;) {
            this.port = await freePort();
            isListening = await this.server.listen({ host: "127.0.0.1", port: this.port }).then(
                () => true,
                (error: NodeJS.ErrnoException) => {
                    if (error.code !== "EADDRINUSE") {
                        throw error;
                    }
                    return false;
                },
            );
        }
    }

    get listeningPort(): number {
        return this.port;
    }

    /** Sends a request and returns it without waiting for the response. */
    open(opts: { path?: string; body?: string; headers?: { [name: string]: string; }; } = {}): ClientRequest {
        const request = sendRequest({
            host: "127.0.0.1",
            port: this.port,
            path: opts.path ?? "/a/x?q=1",
            method: "POST",
            headers: { "host": "host.example", "x-request-id": "id-1", "x-remaining": "1500", ...opts.headers },
        });
        request.on("error", () => undefined);
        request.end(opts.body ?? "");
        return request;
    }

    /** Sends a request and resolves when its response has ended or was interrupted. */
    send(opts: Parameters<GatewayTestBed["open"]>[0] = {}): Promise<ReceivedResponse> {
        return new Promise((resolve, reject) => {
            const request = this.open(opts);
            request.on("error", reject);
            request.on("response", response => {
                const chunks: Buffer[] = [];
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.on("error", () => undefined);
                response.on("close", () =>
                    resolve({
                        statusCode: response.statusCode ?? 0,
                        headers: response.headers,
                        body: Buffer.concat(chunks).toString("utf8"),
                        isComplete: response.complete,
                    }));
            });
        });
    }

    /** Sends a request of HTTP/1.0. Returns the code of the error that ended its connection; undefined after a close. */
    sendWithoutChunks(): Promise<{ code: string | undefined; hasBody: boolean; }> {
        return new Promise(resolve => {
            const socket = connect(this.port, "127.0.0.1");
            let received = "";
            let code: string | undefined;
            socket.on("data", (chunk: Buffer) => {
                received += chunk.toString("latin1");
            });
            socket.on("end", () => {
                // A reset that arrives together with the last bytes is reported as an end without a peer.
                code = socket.remoteAddress === undefined ? "ECONNRESET" : undefined;
            });
            socket.on("error", (error: NodeJS.ErrnoException) => {
                code = error.code;
            });
            socket.on("close", () => resolve({ code, hasBody: received.includes("id: 1") }));
            socket.write("POST /a/x HTTP/1.0\r\nhost: host.example\r\nx-request-id: id-1\r\ncontent-length: 0\r\n\r\n");
        });
    }

    close(): void {
        clearInterval(this.dispatchTimer);
        this.server.stopAccepting();
        this.server.close();
        this.connections.close();
    }
}

async function freePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}
