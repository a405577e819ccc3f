/** Outcome of a job submission. */
export type Acceptance =
    /** The job was written at `revision` of the key-value service, or is held on disks if it is 0. */
    | { kind: "accepted"; revision: number; }
    /**
     * No copy of the job was stored. With `id-taken` another team has a job with this id, with `not-storable` the key-value
     * service rejects this job each time.
     */
    | { kind: "refused"; reason: "over-limit" | "store-away" | "id-taken" | "not-storable"; retryAfterMs: number; }
    /** The job may have been stored. */
    | { kind: "unknown"; };
