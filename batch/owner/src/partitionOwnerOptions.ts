import type { OwnedPartition } from "@knapweedwood/batch.ownership/ownedPartition";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { ServiceLookup } from "./serviceLookup.js";

/** Options of {@link PartitionOwner}. */
export interface PartitionOwnerOptions {
    partitionId: PartitionId;
    /** This instance; part of the id of each write. */
    instanceId: InstanceId;
    /** Returns the proof of ownership; undefined while this instance may not commit. */
    owned: () => OwnedPartition | undefined;
    /** Returns the peers with an open link. */
    peers: () => PeerIdentity[];
    /** Notifies gates to stop a job's items. */
    notifyCancelled: (jobId: JobId) => void;
    keyValue: KeyValueService;
    segmentStore: SegmentStore;
    services: ServiceLookup;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    /** Minimum time between two commits of this partition, from its share of the fleet's write budget. */
    commitIntervalMs: number;
}
