import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { FleetSnapshot } from "./fleetSnapshot.js";
import { snapshotRevisionsOf } from "./snapshotRevisionsOf.js";

/**
 * Returns the newer one of each part of two snapshots. A key of the operators that both contain has its later value, as
 * a configuration may have come from a peer before the listing knew it.
 */
export function mergeSnapshots(left: FleetSnapshot, right: FleetSnapshot): FleetSnapshot {
    const leftRevisions = snapshotRevisionsOf(left);
    const rightRevisions = snapshotRevisionsOf(right);
    const newer = (part: keyof typeof leftRevisions) => rightRevisions[part] > leftRevisions[part] ? right : left;
    const operators = newer("operators");
    return {
        operators: withLaterValues(operators.operators, (operators === left ? right : left).operators),
        upstreams: newer("upstreams").upstreams,
        fleet: newer("fleet").fleet,
        revisions: {
            operators: Math.max(leftRevisions.operators, rightRevisions.operators),
            upstreams: Math.max(leftRevisions.upstreams, rightRevisions.upstreams),
            fleet: Math.max(leftRevisions.fleet, rightRevisions.fleet),
        },
    };
}

function withLaterValues(entries: readonly KeyValueEntry[], others: readonly KeyValueEntry[]): KeyValueEntry[] {
    const othersByKey = new Map(others.map(entry => [entry.key, entry]));
    return entries.map(entry => {
        const other = othersByKey.get(entry.key);
        return other !== undefined && other.modRevision > entry.modRevision ? other : entry;
    });
}
