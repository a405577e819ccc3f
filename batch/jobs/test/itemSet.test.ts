import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ItemSet } from "../src/itemSet.js";

test("an item set contains exactly the added indexes, in ranges that neither touch nor overlap", () => {
    fc.assert(
        fc.property(fc.array(fc.nat({ max: 60 }), { maxLength: 80 }), indexes => {
            const set = new ItemSet();
            const expected = new Set<number>();
            indexes.forEach(index => {
                assert.equal(set.add(index), !expected.has(index));
                expected.add(index);
            });
            assert.equal(set.size, expected.size);
            Array.from({ length: 62 }, (_, index) => index).forEach(index =>
                assert.equal(set.has(index), expected.has(index))
            );
            const ranges = set.toRanges();
            ranges.slice(1).forEach((range, position) => assert.ok(range.first > ranges[position].last + 1));
            assert.deepEqual(new ItemSet(ranges).toRanges(), ranges);
        }),
        { seed: 1, numRuns: 300 },
    );
});
