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
    /** Address at which this instance accepts links, as `host:port`. */
    address: () => string;
    endpoint: LinkEndpoint;
    keyValue: KeyValueService;
    instanceList: InstanceList;
    /** Stores responses that are too large for the log. */
    segmentStore: SegmentStore;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    /** Number of claim shards. Must be the same in all entry instances. */
    shardCount: number;
    /** Claim writes per second of the whole fleet, divided evenly among the shards. */
    writeBudgetPerSecond?: number;
    /** How long claims and recorded responses are stored, in milliseconds. */
    retentionMs?: number;
    /** How long the lease on this instance's shards lasts without a renewal, in milliseconds. */
    leaseTtlMs?: number;
}
