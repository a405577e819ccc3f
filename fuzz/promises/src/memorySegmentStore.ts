import { segmentNotFoundError } from "@knapweedwood/batch.segments/segmentNotFoundError";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import { verifySegment } from "@knapweedwood/batch.segments/verifySegment";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

const MAX_SEGMENT_BYTES = 2000;

/**
 * A data folder in memory. Like a disk, it outlives the process.
 *
 * `get` rejects with `SEGMENT_NOT_FOUND` or `SEGMENT_CORRUPT`.
 */
export class MemorySegmentStore implements SegmentStore {
    readonly maxSegmentBytes = MAX_SEGMENT_BYTES;
    readonly copyCount = 1;
    /** While true, `put` rejects with `SEGMENT_NOT_KEPT`. */
    isFull = false;
    private readonly segments = new Map<SegmentDigest, Uint8Array>();

    put(bytes: Uint8Array): Promise<SegmentDigest> {
        if (this.isFull) {
            return Promise.reject(
                new KnapweedError("SEGMENT_NOT_KEPT", "The segment was not stored: the disk is full", {
                    outcome: "not-run",
                }),
            );
        }
        const digest = digestOf(bytes);
        this.segments.set(digest, Buffer.from(bytes));
        return Promise.resolve(digest);
    }

    async get(digest: SegmentDigest): Promise<Uint8Array> {
        const bytes = this.segments.get(digest);
        if (bytes === undefined) {
            throw segmentNotFoundError(digest);
        }
        return verifySegment(digest, bytes);
    }

    remove(digest: SegmentDigest): Promise<void> {
        this.segments.delete(digest);
        return Promise.resolve();
    }

    repair(digest: SegmentDigest): Promise<number> {
        return this.get(digest).then(() => 1, () => 0);
    }

    /** Truncates every segment to half its length, as torn writes do. */
    truncateSegments(): void {
        this.segments.forEach((bytes, digest) => this.segments.set(digest, bytes.subarray(0, bytes.length >> 1)));
    }

    /** Deletes all segments, as the loss of a disk does. */
    clear(): void {
        this.segments.clear();
    }
}
