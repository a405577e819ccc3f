import type { Clock } from "@knapweedwood/core.clock/clock";
import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { Random } from "@knapweedwood/core.random/random";
import type { DisplacementWaits } from "@knapweedwood/fleet.load/displacementWaits";
import type { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import type { RequestQueue } from "@knapweedwood/fleet.load/requestQueue";
import type { ServiceTimes } from "@knapweedwood/fleet.load/serviceTimes";
import type { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import type { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import type { MemoryBudget } from "@knapweedwood/fleet.memory/memoryBudget";
import type { PromptCacheCost } from "@knapweedwood/fleet.prompts/promptCacheCost";
import type { RequestQuarantine } from "@knapweedwood/fleet.quarantine/requestQuarantine";
import type { StreamOrigins } from "@knapweedwood/fleet.streams/streamOrigins";
import type { UpstreamRequestLimiter } from "@knapweedwood/fleet.upstream-limits/upstreamRequestLimiter";
import type { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { CallHeaderNames } from "@knapweedwood/fleet.view/callHeaderNames";
import type { PromptPart } from "@knapweedwood/fleet.view/promptPart";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { FleetRateLimiter } from "@knapweedwood/routing.limits/fleetRateLimiter";

/** State and services shared by the requests of one gateway. */
export interface GatewayContext {
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    configuration: ActiveConfiguration;
    /** Returns whether this process knows of no newer configuration and follows changes of it without a failure. */
    isConfigurationCurrent: () => boolean;
    connections: UpstreamConnections;
    loadTracker: LoadTracker;
    health: UpstreamHealth;
    serviceTimes: ServiceTimes;
    speeds: UpstreamSpeeds;
    /** The limits that upstreams have named. */
    limits: Pick<UpstreamRequestLimiter, "limitOf">;
    requestQueue: RequestQueue;
    displacementWaits: DisplacementWaits;
    /** Bytes held for callers. */
    memory: MemoryBudget;
    quarantine: RequestQuarantine;
    /** What upstreams probably keep of prompts. */
    promptCaches: PromptCacheCost;
    /** Meters the requests of limited teams. */
    rateLimiter: FleetRateLimiter;
    /** What began the streams that callers may resume. */
    origins: StreamOrigins;
    /** Resolves to the one software version that is certain to have run a service since `sinceMs`, if there is one. */
    soleVersion: (service: ServiceName, sinceMs: number) => Promise<SoftwareVersion | undefined>;
    /** Records that an upstream has said in a response that it leaves. */
    onUpstreamLeaving: (upstream: Upstream) => void;
    headers: CallHeaderNames;
    /** Decodes the parts of a prompt that other requests may share from the header that lists them, shape [parts]. */
    decodeSharedPromptParts: (value: string | undefined) => PromptPartId[];
    /** Decodes all parts of a prompt in their order from the same header, shape [parts]. */
    decodePromptParts: (value: string | undefined) => PromptPart[];
    /** Decodes the number of tokens that a response may have from the header with the token counts; undefined if it names none. */
    decodeMaxTokens: (value: string | undefined) => number | undefined;
    /** Notifies the other processes that the load has changed. */
    onLoadChanged: () => void;
    /** Resolves once the configuration and the upstreams are loaded, or after a short timeout. */
    whenInitialized: () => Promise<void>;
    /** Returns whether this process is stopping, so that responses ask callers to close their connections. */
    isStopping: () => boolean;
    /** Returns the time at which this process ends what is still open, in milliseconds; infinity unless it is stopping. */
    stopsAtMs: () => number;
}
