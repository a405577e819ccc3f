import type { ItemRange } from "@knapweedwood/batch.jobs/itemRange";

/** Returns the indexes of all items in the ranges, shape [items]. */
export function indexesOf(ranges: ItemRange[]): number[] {
    return ranges.flatMap(range =>
        Array.from({ length: range.last - range.first + 1 }, (_, offset) => range.first + offset)
    );
}
