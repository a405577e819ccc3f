import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** Stores immutable segments by their digest. */
export interface SegmentStore {
    /** Largest segment that the store accepts, in bytes. */
    readonly maxSegmentBytes: number;
    /** Number of copies of an acknowledged segment, each in a different zone. */
    readonly copyCount: number;
    /**
     * Stores a segment. Resolves with its digest once all `copyCount` copies are durable. Rejects with
     * `SEGMENT_NOT_KEPT` if they can't be written, or with `SEGMENT_TOO_LARGE`.
     */
    put(bytes: Uint8Array): Promise<SegmentDigest>;
    /** Rejects with `SEGMENT_NOT_FOUND`, or with `SEGMENT_CORRUPT` if no copy matches the digest. */
    get(digest: SegmentDigest): Promise<Uint8Array>;
    /** Removes the segment. Has no effect if it is absent. */
    remove(digest: SegmentDigest): Promise<void>;
    /** Replaces lost copies. @returns the number of copies afterwards; copies in the same zone count as one */
    repair(digest: SegmentDigest): Promise<number>;
}
