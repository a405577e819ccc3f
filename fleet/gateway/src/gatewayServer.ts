import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { breakOffResponse } from "@knapweedwood/core.http-connections/breakOffResponse";
import type { JobCaller } from "@knapweedwood/fleet.jobs/jobCaller";
import { MemoryReservation } from "@knapweedwood/fleet.memory/memoryReservation";
import type { CallerLimits } from "@knapweedwood/fleet.view/callerLimits";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { Team } from "@knapweedwood/fleet.view/team";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { CallerProtocol } from "./callerProtocol.js";
import { cutOffStalledReader } from "./cutOffStalledReader.js";
import type { GatewayContext } from "./gatewayContext.js";
import { headerOf } from "./headerOf.js";
import { identifyCaller } from "./identifyCaller.js";
import { identifyJobCaller } from "./identifyJobCaller.js";
import type { JobCall } from "./jobCall.js";
import type { JobRoutes } from "./jobRoutes.js";
import { OnlineCall } from "./onlineCall.js";
import { readBody } from "./readBody.js";
import { remainingMsOf } from "./remainingMsOf.js";
import { RequestLimits } from "./requestLimits.js";
import { sendFailure } from "./sendFailure.js";

const CONNECTIONS_CHECK_INTERVAL_MS = 500;
const NO_CONFIGURATION_RETRY_MS = 300;
/** Time without progress after which a caller that doesn't read its response is cut off, in milliseconds. */
const MAX_READER_STALL_MS = 5000;
/** Time in which calls about jobs end, in milliseconds: the longest wait for a result, and writes that are repeated. */
const MAX_JOB_CALL_MS = 3000;
const STOPPING = "This process is stopping";
const DEFAULT_LIMITS: CallerLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
};

/** HTTP server for callers. Matches requests to routes and passes calls about jobs to `JobRoutes`. */
export class GatewayServer {
    private readonly context: GatewayContext;
    private readonly protocol: CallerProtocol;
    private readonly jobs: JobRoutes;
    private readonly limits: RequestLimits;
    private readonly server: Server;
    private readonly openResponses = new Set<ServerResponse>();
    private readonly openCalls = new Set<OnlineCall>();

    constructor(opts: { context: GatewayContext; protocol: CallerProtocol; jobs: JobRoutes; }) {
        this.context = opts.context;
        this.protocol = opts.protocol;
        this.jobs = opts.jobs;
        this.limits = new RequestLimits({ context: opts.context, limiter: opts.context.rateLimiter });
        this.server = createServer(
            { connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS, requestTimeout: 0, noDelay: true },
            (request, response) => void this.onRequest(request, response),
        );
        this.applyLimits(DEFAULT_LIMITS);
    }

    /** Number of requests whose responses are not complete. */
    get openRequestCount(): number {
        return this.openResponses.size;
    }

    /** Starts to accept connections. Rejects if the address can't be bound. */
    async listen(address: HostPort): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(address.port, address.host, resolve);
        });
    }

    /** Applies the limits to connections from now on. */
    applyLimits(limits: CallerLimits): void {
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.server.headersTimeout = limits.headerTimeoutMs;
        // The server reads this property for each new connection.
        (this.server as Server & { maxHeaderSize: number; }).maxHeaderSize = limits.maxHeaderBytes;
    }

    /** Stops accepting connections; open connections continue. */
    stopAccepting(): void {
        this.server.close();
    }

    closeIdleConnections(): void {
        this.server.closeIdleConnections();
    }

    /**
     * Answers the requests whose responses haven't begun, as this process stops: those that certainly haven't run so that their
     * callers repeat them elsewhere.
     */
    answerOpenRequests(): void {
        this.openCalls.forEach(call => call.onStop());
        this.openResponses.forEach(response => {
            if (!response.headersSent && !response.destroyed) {
                // A request that isn't complete has been passed to nobody.
                const statusCode = response.req.complete ? 504 : 503;
                sendFailure(response, { statusCode, message: STOPPING, mustClose: true });
            }
        });
    }

    /** Closes all connections, including those with open requests. */
    close(): void {
        this.openResponses.forEach(breakOffResponse);
        this.server.closeAllConnections();
    }

    private async onRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.openResponses.add(response);
        response.sendDate = false;
        response.on("close", () => this.openResponses.delete(response));
        response.on("error", () => response.destroy());
        cutOffStalledReader(response, {
            maxStallMs: MAX_READER_STALL_MS,
            onCutOff: () => this.onReaderStalled(request),
        });
        if (this.context.isStopping()) {
            response.setHeader("connection", "close");
        }
        try {
            await this.serve(request, response);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.context.logger.warn("request-not-read", { code: error.code, message: error.message });
            sendFailure(response, {
                statusCode: error.statusCode ?? 400,
                message: error.message,
                mustClose: true,
                ...error.retryAfterMs === undefined ? {} : { retryAfterMs: error.retryAfterMs },
            });
        }
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { clock, configuration } = this.context;
        const arrivedAtMs = clock.nowMs();
        const limits = configuration.current?.limits ?? DEFAULT_LIMITS;
        const memory = this.reserveMemory(request, response);
        const body = await readBody(request, { maxBytes: limits.maxBodyBytes, memory });
        await this.context.whenInitialized();
        if (configuration.current === undefined) {
            const message = "No configuration is known yet";
            sendFailure(response, { statusCode: 503, message, retryAfterMs: NO_CONFIGURATION_RETRY_MS });
            return;
        }
        const jobCall = this.protocol.parseJobCall(request);
        if (jobCall !== undefined) {
            if (this.rejectIfStopping(request, response, MAX_JOB_CALL_MS)) {
                return;
            }
            await this.serveJobCall(jobCall, request, response);
            return;
        }
        const path = (request.url ?? "/").split("?", 1)[0]!;
        const route = configuration.match(request.headers.host ?? "", path);
        if (route === undefined) {
            this.rejectUnknown(request, response, { statusCode: 404, reason: "no route" });
            return;
        }
        const caller = identifyCaller(configuration, route, headerOf(request, this.protocol.headers.key));
        if (caller.kind === "unknown-key") {
            this.context.metrics.increment("calls_unknown_key_total");
            this.rejectUnknown(request, response, { statusCode: 401, reason: "unknown key" });
            return;
        }
        const maxDurationMs = route.kind === "batch"
            ? MAX_JOB_CALL_MS
            : remainingMsOf(request, route, this.protocol.headers);
        if (this.rejectIfStopping(request, response, maxDurationMs)) {
            return;
        }
        if (route.kind === "batch") {
            const jobId = String(request.headers[this.protocol.headers.requestId] ?? "");
            await this.jobs.submit(route, { jobId, body, caller: this.jobCallerOf(caller.team) }, response);
            return;
        }
        const call = { route, request, response, arrivedAtMs, team: caller.team };
        const admission = this.limits.admit(call);
        if (admission?.isAdmitted === false) {
            return;
        }
        const onNotRun = () => this.limits.release(admission);
        const onlineCall = new OnlineCall({ ...call, context: this.context, body, memory, onNotRun });
        this.openCalls.add(onlineCall);
        response.on("close", () => this.openCalls.delete(onlineCall));
        onlineCall.start();
    }

    /**
     * Rejects a request that may take longer than this process has left before it stops. Its caller repeats it elsewhere.
     *
     * @returns whether it was rejected
     */
    private rejectIfStopping(request: IncomingMessage, response: ServerResponse, maxDurationMs: number): boolean {
        const leftMs = this.context.stopsAtMs() - this.context.clock.nowMs();
        if (maxDurationMs <= leftMs) {
            return false;
        }
        const requestId = request.headers[this.protocol.headers.requestId];
        this.context.logger.info("call-refused", {
            requestId,
            reason: STOPPING,
            statusCode: 503,
            maxDurationMs,
            leftMs,
        });
        this.context.metrics.increment("calls_refused_stopping_total");
        sendFailure(response, { statusCode: 503, message: STOPPING, retryAfterMs: 0, mustClose: true });
        return true;
    }

    /** Begins to count what is held for a call, until its response is sent or broken off. */
    private reserveMemory(request: IncomingMessage, response: ServerResponse): MemoryReservation {
        const { configuration, memory } = this.context;
        const key = headerOf(request, this.protocol.headers.key);
        const teamId = key === undefined ? undefined : configuration.teamOf(key)?.id;
        const reservation = new MemoryReservation({ budget: memory, teamId });
        response.on("close", () => reservation.release());
        return reservation;
    }

    private onReaderStalled(request: IncomingMessage): void {
        this.context.metrics.increment("stalled_readers_total");
        this.context.logger.info("caller-stalled", {
            requestId: request.headers[this.protocol.headers.requestId],
            heldBytes: this.context.memory.heldBytes,
        });
    }

    private async serveJobCall(call: JobCall, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const key = headerOf(request, this.protocol.headers.key);
        const caller = identifyJobCaller(this.context.configuration, request.headers.host ?? "", key);
        if (caller.kind === "unknown-key") {
            this.rejectUnknown(request, response, { statusCode: 401, reason: "unknown key" });
            return;
        }
        await this.jobs.handle(call, this.jobCallerOf(caller.team), response);
    }

    /** Returns who calls about a job; undefined while the configuration has no teams. */
    private jobCallerOf(team: Team | undefined): JobCaller | undefined {
        if (this.context.configuration.current?.teams === undefined) {
            return undefined;
        }
        return team === undefined ? {} : { team: team.id };
    }

    /**
     * Responds with a status after which callers don't repeat a request only if the route or the key is certain not to
     * exist.
     */
    private rejectUnknown(
        request: IncomingMessage,
        response: ServerResponse,
        opts: { statusCode: 401 | 404; reason: string; },
    ): void {
        const isCurrent = this.context.isConfigurationCurrent();
        this.context.logger.info("call-unrouted", {
            requestId: request.headers[this.protocol.headers.requestId],
            host: request.headers.host,
            path: request.url,
            reason: opts.reason,
            configuration: this.context.configuration.version,
            isCurrent,
        });
        if (isCurrent) {
            sendFailure(response, { statusCode: opts.statusCode, message: opts.reason });
            return;
        }
        const message = `${opts.reason} in a configuration that may be outdated`;
        sendFailure(response, { statusCode: 503, message, retryAfterMs: NO_CONFIGURATION_RETRY_MS });
    }
}
