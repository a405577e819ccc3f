import type { SegmentReference } from "@knapweedwood/batch.segments/segmentReference";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

interface LoadedSegment {
    firstIndex: number;
    lines: string[];
}

/** Reads lines of a job's input by item index. Keeps one segment in memory. */
export class JobInput {
    private readonly store: SegmentStore;
    private readonly segments: { reference: SegmentReference; firstIndex: number; }[];
    private loaded: LoadedSegment | undefined;

    constructor(opts: { store: SegmentStore; segments: SegmentReference[]; }) {
        this.store = opts.store;
        let firstIndex = 0;
        this.segments = opts.segments.map(reference => {
            const segment = { reference, firstIndex };
            firstIndex += reference.lineCount;
            return segment;
        });
    }

    /** Returns the line of an item. Rejects with ITEM_NOT_FOUND if the index is out of range. */
    async lineAt(index: number): Promise<string> {
        const segment = this.segments.findLast(candidate => candidate.firstIndex <= index);
        if (segment === undefined || index >= segment.firstIndex + segment.reference.lineCount) {
            throw new KnapweedError("ITEM_NOT_FOUND", `The job has no item ${index}`);
        }
        if (this.loaded?.firstIndex !== segment.firstIndex) {
            const bytes = await this.store.get(segment.reference.digest);
            const lines = Buffer.from(bytes).toString("utf8").split("\n");
            this.loaded = { firstIndex: segment.firstIndex, lines };
        }
        return this.loaded.lines[index - segment.firstIndex];
    }
}
