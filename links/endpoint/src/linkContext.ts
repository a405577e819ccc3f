import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Random } from "@knapweedwood/core.random/random";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { CallRegistry } from "./callRegistry.js";
import type { LinkLimits } from "./linkLimits.js";
import type { MessageCodec } from "./messageCodec.js";

/** Services, limits and handlers that all links of an endpoint share. */
export interface LinkContext {
    identity: PeerIdentity;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    codec: MessageCodec;
    limits: LinkLimits;
    registry: CallRegistry;
    /** Offset of this process's heartbeats, in milliseconds. */
    heartbeatPhaseMs: number;
}
