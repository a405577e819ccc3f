import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";

/** Options of {@link ClaimService}. */
export interface ClaimServiceOptions {
    instanceId: InstanceId;
    /** Where this instance accepts links, as `host:port`. */
    address: () => string;
    endpoint: LinkEndpoint;
    keyValue: KeyValueService;
    instanceList: InstanceList;
    /** Keeps answers that are too large for the log. */
    segmentStore: SegmentStore;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    /** The same in all entry instances. */
    shardCount: number;
    /** Claim writes per second of the whole fleet; shared out over the shards. */
    writeBudgetPerSecond?: number;
    /** How long claims and recorded answers are kept. */
    retentionMs?: number;
    leaseTtlMs?: number;
}
