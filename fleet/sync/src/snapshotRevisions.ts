/** Revisions of the key-value service up to which the parts of a snapshot were known; 0 for an unknown part. */
export interface SnapshotRevisions {
    operators: number;
    upstreams: number;
    fleet: number;
}
