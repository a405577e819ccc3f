import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { OwnershipDecision } from "./ownershipDecision.js";
import type { OwnershipView } from "./ownershipView.js";

const RANK_DELAY_MS = 300;
/** Time for the last holder to return after an outage; longer than its backoff after the failed calls. */
const OUTAGE_GRACE_MS = 7000;
const MAX_RANK_DELAYS = 3;
const REBALANCE_DELAY_MS = 5000;

/**
 * Decides which partitions to acquire and which to release. The entry that ranks first acquires a free partition at
 * once; the others wait longer the lower they rank. A suspended holder reacquires its partition unless another instance
 * has taken it.
 */
export function decideOwnership(view: OwnershipView): OwnershipDecision {
    const acquire = view.partitions.filter(partition =>
        partition.holder === undefined
        && (partition.state === "suspended"
            || (partition.state === "idle" && partition.freeSinceMs !== undefined
                && view.nowMs - partition.freeSinceMs >= acquireDelayMs(view, partition)))
    );
    const release = view.partitions.filter(partition =>
        partition.state === "held" && partition.misplacedSinceMs !== undefined
        && view.nowMs - partition.misplacedSinceMs >= REBALANCE_DELAY_MS
    );
    return {
        acquire: acquire.map(partition => partition.partitionId),
        release: release.slice(0, 1).map(partition => partition.partitionId),
    };
}

function acquireDelayMs(view: OwnershipView, partition: OwnershipView["partitions"][number]): number {
    const rank = rendezvousRank(partition.partitionId, view.liveEntries).indexOf(view.instanceId);
    const rankMs = RANK_DELAY_MS * (rank === -1 ? MAX_RANK_DELAYS : Math.min(rank, MAX_RANK_DELAYS));
    const { lastHolder } = partition;
    const mayHolderReturn = partition.wasFreedByOutage && lastHolder !== undefined
        && view.liveEntries.includes(lastHolder);
    return rankMs + (mayHolderReturn ? OUTAGE_GRACE_MS : 0);
}
