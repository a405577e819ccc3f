// Guards against sound items that are kept from idle upstreams after a series of crashes (LOST): each crash broke off all
// runs at an upstream and was held against each of them, and so was the next crash against the run that tested an item.
import assert from "node:assert/strict";
import { test } from "node:test";
import type { CrashSeriesOptions } from "./crashSeriesOptions.js";
import { SimulatedCrashSeries } from "./simulatedCrashSeries.js";

const SERIES_MS = 32_000;
/** Number of upstreams that one item may crash in the series and after it: until it is found, and by some probes. */
const MAX_OWN_CRASHES = 20;
/** A single runner, items that arrive one by one, and no lost answers. */
const PLAIN_SERIES: Omit<CrashSeriesOptions, "seed"> = {
    seriesMs: SERIES_MS,
    crashIntervalMs: 2000,
    runners: 1,
    parts: 4,
    runMs: [6000, 6000],
    burst: { items: 1, intervalMs: 600 },
    lostAnswersUntilMs: 0,
    hasOnline: false,
    badItems: 0,
};

function seeds(count: number): number[] {
    return Array.from({ length: count }, (_, index) => index + 1);
}

test("all sound items are finished some seconds after a series of crashes", async () => {
    const left = await Promise.all(
        seeds(20).map(async seed => {
            const series = new SimulatedCrashSeries({ ...PLAIN_SERIES, seed });
            await series.playUntil(SERIES_MS + 18_000);
            return series.items.filter(({ remainingMs }) => remainingMs > 0).length;
        }),
    );
    assert.deepEqual(left, seeds(20).map(() => 0));
});

test("items that crash their upstreams are found during a series of other crashes, and without one", async () => {
    const worst = await Promise.all([SERIES_MS, 0].flatMap(seriesMs =>
        seeds(20).map(async seed => {
            const series = new SimulatedCrashSeries({ ...PLAIN_SERIES, seed, seriesMs, badItems: 2 });
            await series.playUntil(SERIES_MS + 18_000);
            return Math.max(...series.items.map(({ crashes }) => crashes));
        })
    ));
    assert.deepEqual(worst.filter(crashes => crashes > MAX_OWN_CRASHES), []);
});
