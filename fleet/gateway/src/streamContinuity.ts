import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { StreamOrigin } from "@knapweedwood/fleet.streams/streamOrigin";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { IncomingMessage } from "node:http";
import type { GatewayContext } from "./gatewayContext.js";
import { headerOf } from "./headerOf.js";
import type { ResumptionDecision } from "./resumptionDecision.js";

/**
 * Longest time from the beginning of a stream to its last resumption, in units of the route's timeout. Callers try
 * several times, each time for up to the timeout.
 */
const LIFETIME_TIMEOUTS = 6;
/** Time after which another gateway may know what began the stream, in milliseconds. */
const UNKNOWN_ORIGIN_RETRY_AFTER_MS = 150;
/** Time after which a route that has changed may lead back to a service, in milliseconds. */
const OTHER_SERVICE_RETRY_AFTER_MS = 1000;

interface StreamContinuityOptions {
    context: Pick<GatewayContext, "clock" | "configuration" | "headers" | "origins" | "soleVersion">;
    route: Route;
    request: IncomingMessage;
    requestId: RequestId;
}

/**
 * Keeps a resumable stream at the service and software version that began it, within one response and over the requests
 * with which its caller resumes it.
 */
export class StreamContinuity {
    private readonly opts: StreamContinuityOptions;
    private origin: StreamOrigin | undefined;
    private isRecorded = false;

    constructor(opts: StreamContinuityOptions) {
        this.opts = opts;
    }

    /** Id of the request that began the stream, if the caller names one. */
    get resumedRequestId(): RequestId | undefined {
        return this.header("resumedRequestId") as RequestId | undefined;
    }

    /** Whether the caller resumes a stream that an earlier request began. */
    get isResumption(): boolean {
        return this.header("lastEventId") !== undefined || this.resumedRequestId !== undefined;
    }

    /** The software version that the stream has to go on at; undefined while any may begin it. */
    get softwareVersion(): SoftwareVersion | undefined {
        return this.origin?.softwareVersion;
    }

    /** Finds out what began the stream that the caller resumes, and decides whether it may go on. */
    async decideResumption(): Promise<ResumptionDecision> {
        const { resumedRequestId } = this;
        const recorded = resumedRequestId === undefined
            ? undefined
            : await this.opts.context.origins.lookUp(resumedRequestId);
        const origin = recorded ?? await this.soleOrigin();
        if (origin === undefined) {
            const reason = "nobody knows what began the stream";
            return { kind: "reject", reason, retryAfterMs: UNKNOWN_ORIGIN_RETRY_AFTER_MS };
        }
        if (!this.opts.route.services.some(({ service }) => service === origin.service)) {
            const reason = "the route no longer leads to the service that began the stream";
            return { kind: "reject", reason, retryAfterMs: OTHER_SERVICE_RETRY_AFTER_MS };
        }
        this.origin = origin;
        return { kind: "resume", origin };
    }

    /** Records that events of an upstream have been sent to the caller. */
    onEventsSent({ service, softwareVersion }: Upstream): void {
        if (!this.isRecorded) {
            this.isRecorded = true;
            this.origin ??= { service, softwareVersion };
            this.opts.context.origins.record(this.resumedRequestId ?? this.opts.requestId, this.origin);
        }
    }

    /**
     * Resolves to the only origin that a stream of this route can have; undefined if in the lifetime of a stream the route has
     * led to several services or several versions have run its service.
     */
    private async soleOrigin(): Promise<StreamOrigin | undefined> {
        const { context, route } = this.opts;
        const [only, ...others] = route.services;
        if (only === undefined || others.length > 0) {
            return undefined;
        }
        const sinceMs = context.clock.nowMs() - route.timeoutMs * LIFETIME_TIMEOUTS;
        const softwareVersion = await context.soleVersion(only.service, sinceMs);
        // Looked at afterwards: the version is confirmed together with the configuration.
        const isOnlyService = context.configuration.servicesKnownSinceMs(route) <= sinceMs;
        return softwareVersion === undefined || !isOnlyService ? undefined : { service: only.service, softwareVersion };
    }

    private header(name: "lastEventId" | "resumedRequestId"): string | undefined {
        return headerOf(this.opts.request, this.opts.context.headers[name]);
    }
}
