import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { OwnedPartition } from "./ownedPartition.js";

/** Options of {@link PartitionOwnership}. */
export interface PartitionOwnershipOptions {
    /** First segment of the keys, such as `batch`. */
    scope: string;
    partitionCount: number;
    instanceId: InstanceId;
    /** Returns the address where this instance accepts links, as `host:port`. */
    address: () => string;
    /** Returns the entry instances that are not leaving. */
    liveEntries: () => Promise<InstanceId[]>;
    keyValue: KeyValueService;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    /** How long the lease on this instance's partitions lasts without a renewal, in milliseconds. */
    leaseTtlMs?: number;
    /** Called when a partition is acquired, also when an expired one is reacquired with a new fencing number. */
    onAcquired: (partition: OwnedPartition) => void;
    /** Called when another instance has taken the partition. */
    onLost: (partitionId: PartitionId, newOwnerAddress: string) => void;
    /** Commits the remaining work before a hand-over; nothing is committed after it. */
    onRelease: (partitionId: PartitionId) => Promise<void>;
}
