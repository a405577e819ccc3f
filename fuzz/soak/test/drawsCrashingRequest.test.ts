// The first random number of each small seed is over 0.99, so that no seed ran the crashing request.
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import assert from "node:assert/strict";
import { test } from "node:test";
import { drawShare } from "../src/drawShare.js";

const SEEDS = 400;
const MAX_DEVIATION = 0.1;

test("the share of seeds with the crashing request is the one asked for", () => {
    for (const share of [0, 0.3, 0.7, 1]) {
        const drawn = Array.from({ length: SEEDS }, (_, seed) => drawShare(new SeededRandom(seed), share));
        const actual = drawn.filter(isDrawn => isDrawn).length / SEEDS;
        assert.ok(Math.abs(actual - share) <= MAX_DEVIATION, `${actual} of ${share}`);
    }
});
