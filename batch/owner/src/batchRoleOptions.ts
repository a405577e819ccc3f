import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";
import type { ServiceLookup } from "./serviceLookup.js";

/** Options of {@link BatchRole}. */
export interface BatchRoleOptions {
    instanceId: InstanceId;
    /** Returns the address where this instance accepts links, as `host:port`. */
    address: () => string;
    clock: Clock;
    random: Random;
    keyValue: KeyValueService;
    instanceList: InstanceList;
    endpoint: LinkEndpoint;
    segmentStore: SegmentStore;
    services: ServiceLookup;
    /** Returns the weight of a team in the distribution of items. */
    teamWeight: (teamId: TeamId) => number;
    logger: Logger;
    metrics: Metrics;
    /** Number of partitions; must be the same on all entry instances. */
    partitionCount: number;
    /** Checkpoint writes per second of the whole fleet, divided evenly between the partitions. */
    writeBudgetPerSecond?: number;
    /** How long the lease on this instance's partitions lasts without a renewal, in milliseconds. */
    leaseTtlMs?: number;
    /** How long a job is kept after its end, in milliseconds; undefined keeps all jobs. */
    retentionMs?: number;
    /** Mean pause between two segment scans, in milliseconds. The removal of expired jobs follows each scan. */
    maintenanceIntervalMs?: number;
}
