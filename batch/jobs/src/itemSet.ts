import type { ItemRange } from "./itemRange.js";

/** Set of item indexes, stored as ranges in ascending order. */
export class ItemSet {
    private readonly ranges: ItemRange[];

    constructor(ranges: readonly ItemRange[] = []) {
        this.ranges = ranges.map(range => ({ ...range }));
    }

    get size(): number {
        return this.ranges.reduce((sum, range) => sum + range.last - range.first + 1, 0);
    }

    has(index: number): boolean {
        const range = this.ranges[this.findRangePosition(index)];
        return range !== undefined && range.first <= index;
    }

    /** Adds an index. @returns whether the index was new */
    add(index: number): boolean {
        const position = this.findRangePosition(index);
        const after = this.ranges[position];
        if (after !== undefined && after.first <= index) {
            return false;
        }
        const before = this.ranges[position - 1];
        const joinsBefore = before?.last === index - 1;
        const joinsAfter = after?.first === index + 1;
        const first = joinsBefore ? before.first : index;
        const last = joinsAfter ? after.last : index;
        const start = joinsBefore ? position - 1 : position;
        this.ranges.splice(start, Number(joinsBefore) + Number(joinsAfter), { first, last });
        return true;
    }

    /** Returns the ranges in ascending order, shape [ranges]. */
    toRanges(): ItemRange[] {
        return this.ranges.map(range => ({ ...range }));
    }

    /** Returns the position of the first range that ends at or after `index`. */
    private findRangePosition(index: number): number {
        let low = 0;
        let high = this.ranges.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (this.ranges[middle].last < index) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
