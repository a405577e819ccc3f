import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CountedTree } from "../src/countedTree.js";

const SEED = 20_261_204;

// A wrong size in one node would count the requests ahead wrongly, and reject or keep the wrong ones.
test("compared with a sorted list: counts and finds the same items after any changes", () => {
    const action = fc.record({ isAdded: fc.boolean(), value: fc.nat(30), bound: fc.nat(31) });
    fc.assert(
        fc.property(fc.array(action, { maxLength: 100 }), actions => {
            const tree = new CountedTree<number>({
                compare: (left, right) => left - right,
                random: new SeededRandom(1),
            });
            let list: number[] = [];
            actions.forEach(({ isAdded, value, bound }) => {
                if (!isAdded) {
                    tree.remove(value);
                }
                else if (!list.includes(value)) {
                    tree.add(value);
                }
                list = [...list.filter(other => other !== value), ...isAdded ? [value] : []]
                    .sort((left, right) => left - right);
                assert.equal(tree.size, list.length);
                assert.equal(tree.first(), list[0]);
                assert.equal(tree.countBefore(other => other < bound), list.filter(other => other < bound).length);
                assert.equal(tree.firstAfter(other => other < bound), list.find(other => other >= bound));
            });
        }),
        { seed: SEED },
    );
});
