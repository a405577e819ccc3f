// Guards against sound items that wait in quarantine after a series of crashes (LOST): a quarantine from the middle of a series
// stayed for 40 s and more after it, as neither later crashes nor those that other processes had seen put it in doubt.
import assert from "node:assert/strict";
import { test } from "node:test";
import { drawCrashSeries } from "./drawCrashSeries.js";
import { SimulatedCrashSeries } from "./simulatedCrashSeries.js";

/** Time after the last crash by which each item has to run, in milliseconds. */
const MAX_WAIT_MS = 20_000;
const SERIES = 240;

test("no item waits 20 s after the last crash of a series, with several runners, lost answers and bursts", async () => {
    const left = await Promise.all(Array.from({ length: SERIES }, async (_, index) => {
        const series = new SimulatedCrashSeries(drawCrashSeries(index + 1, 0));
        await series.playUntilCalm(MAX_WAIT_MS);
        return series.waiting.length;
    }));
    assert.deepEqual(left, left.map(() => 0));
});
