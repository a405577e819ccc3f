import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { SnapshotRevisions } from "./snapshotRevisions.js";

/** What a process needs to know of the fleet to serve callers, as entries of the key-value service. */
export interface FleetSnapshot {
    /** Entries of the operators, with the configuration. */
    operators: KeyValueEntry[];
    upstreams: KeyValueEntry[];
    /** Processes of the fleet and the leader. */
    fleet: KeyValueEntry[];
    /** Revisions up to which the entries were known; absent in snapshots of earlier releases. */
    revisions?: SnapshotRevisions;
}
