import assert from "node:assert/strict";
import { test } from "node:test";
import { fuzzPromises } from "../src/fuzzPromises.js";

const RUNS = 60;
const SEEDS = [1, 2, 3, 4];

SEEDS.forEach(seed => {
    test(`the promises hold over ${RUNS} random cases of seed ${seed}`, async () => {
        const report = await fuzzPromises({ seed, runs: RUNS });
        assert.equal(report.hasFailed, false, report.message);
    });
});
