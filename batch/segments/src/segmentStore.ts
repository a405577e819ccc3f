import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** Keeps immutable segments under their digest. */
export interface SegmentStore {
    /** The largest segment that the store takes, in bytes. */
    readonly maxSegmentBytes: number;
    /** Copies, each in a zone of its own, that an acknowledged segment has. */
    readonly copyCount: number;
    /** Resolves once the segment is kept as safely as this store can; throws `SEGMENT_NOT_KEPT` where it can't. */
    put(bytes: Uint8Array): Promise<SegmentDigest>;
    /** Throws `SEGMENT_NOT_FOUND`, or `SEGMENT_CORRUPT` where no copy matches the digest. */
    get(digest: SegmentDigest): Promise<Uint8Array>;
    /** Removes the segment; has no effect where it is absent. */
    remove(digest: SegmentDigest): Promise<void>;
    /** Makes up for lost copies. @returns the number of copies after it */
    repair(digest: SegmentDigest): Promise<number>;
}
