import type { Suspicion } from "@knapweedwood/fleet.quarantine/suspicion";

/** A change of a stored suspicion that is not written yet. */
export interface SuspicionChange {
    kind: "put" | "delete";
    /** The suspicion to store, or the one that is no longer needed. */
    suspicion: Suspicion;
    /** Revision of the entry that the change replaces; 0 if it is absent. */
    replacedRevision: number;
    /** Number of times that the entry had been changed by another process first. */
    conflicts: number;
}
