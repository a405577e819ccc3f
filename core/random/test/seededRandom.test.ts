import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../src/seededRandom.js";

const SEEDS = 1000;

test("the same seed gives the same numbers", () => {
    const [left, right] = [new SeededRandom(7), new SeededRandom(7)];
    assert.deepEqual([left.next(), left.nextInteger(10)], [right.next(), right.nextInteger(10)]);
});

test("the first numbers of small seeds are spread over the whole range", () => {
    const firsts = Array.from({ length: SEEDS }, (_, seed) => new SeededRandom(seed).next());
    const mean = firsts.reduce((sum, value) => sum + value, 0) / SEEDS;
    assert.ok(firsts.every(value => value >= 0 && value < 1));
    assert.ok(Math.abs(mean - 0.5) < 0.05, String(mean));
    assert.ok(firsts.filter(value => value < 0.1).length > SEEDS / 20);
});
