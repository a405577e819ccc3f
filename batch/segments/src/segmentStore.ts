import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** Stores immutable segments by their digest. */
export interface SegmentStore {
    /** Largest segment that the store accepts, in bytes. */
    readonly maxSegmentBytes: number;
    /** Number of copies of an acknowledged segment, each in a different zone. */
    readonly copyCount: number;
    /** Resolves once the segment is stored as safely as this store can. Rejects with `SEGMENT_NOT_KEPT` on failure. */
    put(bytes: Uint8Array): Promise<SegmentDigest>;
    /** Rejects with `SEGMENT_NOT_FOUND`, or with `SEGMENT_CORRUPT` if no copy matches the digest. */
    get(digest: SegmentDigest): Promise<Uint8Array>;
    /** Removes the segment. Has no effect if it is absent. */
    remove(digest: SegmentDigest): Promise<void>;
    /** Replaces lost copies. @returns the number of copies afterwards */
    repair(digest: SegmentDigest): Promise<number>;
}
