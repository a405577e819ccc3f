import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Random } from "@knapweedwood/core.random/random";
import type { HoldTimes } from "@knapweedwood/fleet.load/holdTimes";
import type { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import type { RequestQueue } from "@knapweedwood/fleet.load/requestQueue";
import type { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import type { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { CallHeaderNames } from "@knapweedwood/fleet.view/callHeaderNames";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";

/** What requests of one gateway share. */
export interface GatewayContext {
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    configuration: ActiveConfiguration;
    connections: UpstreamConnections;
    loadTracker: LoadTracker;
    health: UpstreamHealth;
    holdTimes: HoldTimes;
    requestQueue: RequestQueue;
    headers: CallHeaderNames;
    /** Tells the other processes that the load has changed. */
    onLoadChanged: () => void;
    /** Resolves once configuration and upstreams are known, or after a short while without them. */
    whenInitialized: () => Promise<void>;
    /** Whether answers ask callers to close their connections. */
    isStopping: () => boolean;
}
