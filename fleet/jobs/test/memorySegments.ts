import type { FolderSegmentStore } from "@knapweedwood/batch.segments/folderSegmentStore";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";

/** Segments in memory, as a disk that outlasts its process. */
export class MemorySegments implements Pick<FolderSegmentStore, "prepare" | "put" | "get" | "list" | "remove"> {
    private readonly segments = new Map<SegmentDigest, Uint8Array>();
    private writtenCount = 0;

    prepare(): Promise<void> {
        return Promise.resolve();
    }

    put(bytes: Uint8Array): Promise<SegmentDigest> {
        this.writtenCount += 1;
        const digest = `segment-${this.writtenCount}` as SegmentDigest;
        this.segments.set(digest, bytes);
        return Promise.resolve(digest);
    }

    get(digest: SegmentDigest): Promise<Uint8Array> {
        return Promise.resolve(this.segments.get(digest)!);
    }

    list(): Promise<SegmentDigest[]> {
        return Promise.resolve([...this.segments.keys()]);
    }

    remove(digest: SegmentDigest): Promise<void> {
        this.segments.delete(digest);
        return Promise.resolve();
    }
}
