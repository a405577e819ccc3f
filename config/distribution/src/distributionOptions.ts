import type { Clock } from "@knapweedwood/core.clock/clock";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";

/** Dependencies of a {@link DistributedConfiguration}. */
export interface DistributionOptions {
    identity: PeerIdentity;
    clock: Clock;
    random: Random;
    /** Undefined for a process that receives the configuration only over links. */
    keyValue: KeyValueService | undefined;
    instanceList: InstanceList;
    endpoint: LinkEndpoint;
    logger: Logger;
    metrics: Metrics;
}
