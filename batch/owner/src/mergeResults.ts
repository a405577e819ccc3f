import type { ItemResult } from "@knapweedwood/batch.jobs/itemResult";
import type { ResultSegment } from "@knapweedwood/batch.jobs/resultSegment";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";

interface OpenSegment {
    results: ItemResult[];
    position: number;
}

/**
 * Yields results in the items' order. A segment is loaded when the order reaches its first item and released after its
 * last, so that memory is bounded by the segments that overlap.
 */
export async function* mergeResults(store: SegmentStore, segments: ResultSegment[]): AsyncIterable<ItemResult> {
    const unopened = segments.toSorted((left, right) => left.firstIndex - right.firstIndex);
    let open: OpenSegment[] = [];
    while (unopened.length > 0 || open.length > 0) {
        const nextIndex = Math.min(...open.map(segment => segment.results[segment.position].index));
        if (unopened.length > 0 && unopened[0].firstIndex <= nextIndex) {
            open.push(await openSegment(store, unopened.splice(0, 1)[0]));
            continue;
        }
        const first = open.find(segment => segment.results[segment.position].index === nextIndex);
        if (first !== undefined) {
            yield first.results[first.position];
            first.position += 1;
            open = open.filter(segment => segment.position < segment.results.length);
        }
    }
}

async function openSegment(store: SegmentStore, segment: ResultSegment): Promise<OpenSegment> {
    const text = Buffer.from(await store.get(segment.digest)).toString("utf8");
    return { results: text.trimEnd().split("\n").map(line => JSON.parse(line) as ItemResult), position: 0 };
}
