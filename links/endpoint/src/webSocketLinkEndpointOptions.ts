import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Random } from "@knapweedwood/core.random/random";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { LinkLimits } from "./linkLimits.js";
import type { LinkTls } from "./linkTls.js";

/** Options of a {@link WebSocketLinkEndpoint}. */
export interface WebSocketLinkEndpointOptions {
    identity: PeerIdentity;
    clock: Clock;
    /** Address to listen on. */
    host: string;
    /** Port to listen on; 0 selects a free port. */
    port: number;
    logger: Logger;
    metrics: Metrics;
    /** Undefined for connections without TLS, which are for loopback only. */
    tls?: LinkTls | undefined;
    /** `host:port` that {@link LinkEndpoint.listen} returns instead of the bound address. */
    advertisedAddress?: string | undefined;
    limits?: Partial<LinkLimits> | undefined;
    random?: Random | undefined;
}
