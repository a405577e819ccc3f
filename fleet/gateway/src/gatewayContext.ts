import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Random } from "@knapweedwood/core.random/random";
import type { HoldTimes } from "@knapweedwood/fleet.load/holdTimes";
import type { LoadBoard } from "@knapweedwood/fleet.load/loadBoard";
import type { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import type { WaitingRoom } from "@knapweedwood/fleet.load/waitingRoom";
import type { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { CallHeaders } from "@knapweedwood/fleet.view/callHeaders";
import type { ConfigurationInForce } from "@knapweedwood/fleet.view/configurationInForce";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";

/** What requests of one gateway share. */
export interface GatewayContext {
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    configuration: ConfigurationInForce;
    connections: UpstreamConnections;
    board: LoadBoard;
    health: UpstreamHealth;
    holdTimes: HoldTimes;
    waitingRoom: WaitingRoom;
    headers: CallHeaders;
    /** Tells the other processes that the load has changed. */
    onLoadChanged: () => void;
    /** Resolves once configuration and upstreams are known, or after a short while without them. */
    whenInformed: () => Promise<void>;
    /** Whether answers ask callers to close their connections. */
    isStopping: () => boolean;
}
