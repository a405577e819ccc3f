import type { ItemResult } from "@knapweedwood/batch.jobs/itemResult";
import type { ResultSegment } from "@knapweedwood/batch.jobs/resultSegment";
import type { SegmentReference } from "@knapweedwood/batch.segments/segmentReference";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import { writeLineSegments } from "@knapweedwood/batch.segments/writeLineSegments";
import { mergeResults } from "./mergeResults.js";

/** Writes the output file of a job (`failed` is false) or its error file as segments, in the items' order. */
export async function writeOutputs(
    store: SegmentStore,
    results: ResultSegment[],
    failed: boolean,
): Promise<SegmentReference[]> {
    return await writeLineSegments(store, encodeLines(mergeResults(store, results), failed));
}

async function* encodeLines(results: AsyncIterable<ItemResult>, failed: boolean): AsyncIterable<Uint8Array> {
    for await (const result of results) {
        if (result.failed === failed) {
            yield Buffer.from(`${JSON.stringify(result.line)}\n`, "utf8");
        }
    }
}
