import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { FleetSnapshot } from "./fleetSnapshot.js";
import type { SnapshotRevisions } from "./snapshotRevisions.js";

/** Returns the revisions up to which the parts of a snapshot were known, at least. */
export function snapshotRevisionsOf(snapshot: FleetSnapshot): SnapshotRevisions {
    return snapshot.revisions ?? {
        operators: lastChangeOf(snapshot.operators),
        upstreams: lastChangeOf(snapshot.upstreams),
        fleet: lastChangeOf(snapshot.fleet),
    };
}

function lastChangeOf(entries: readonly KeyValueEntry[]): number {
    return entries.reduce((revision, entry) => Math.max(revision, entry.modRevision), 0);
}
