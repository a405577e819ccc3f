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
    /** First part of the keys, such as `batch`. */
    scope: string;
    partitionCount: number;
    instanceId: InstanceId;
    /** Where this instance accepts links. */
    address: () => string;
    /** Entry instances that are not leaving. */
    liveEntries: () => Promise<InstanceId[]>;
    keyValue: KeyValueService;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    leaseTtlMs?: number;
    /** Also called when a lapsed partition is taken again, with the new fencing number. */
    onAcquired: (partition: OwnedPartition) => void;
    /** Another instance has taken the partition. */
    onLost: (partitionId: PartitionId, newOwnerAddress: string) => void;
    /** Commits what is left before a hand-over; nothing is committed after it. */
    onRelease: (partitionId: PartitionId) => Promise<void>;
}
