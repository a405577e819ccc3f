import type { SegmentReference } from "./segmentReference.js";
import type { SegmentStore } from "./segmentStore.js";

/** Yields the lines of segments in order, without line ends. Holds one segment in memory at a time. */
export async function* readLines(store: SegmentStore, segments: SegmentReference[]): AsyncIterable<string> {
    for (const segment of segments) {
        const text = Buffer.from(await store.get(segment.digest)).toString("utf8");
        yield* text.endsWith("\n") ? text.slice(0, -1).split("\n") : text.split("\n");
    }
}
