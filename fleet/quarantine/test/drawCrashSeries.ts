import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { CrashSeriesOptions } from "./crashSeriesOptions.js";

const SERIES_MS = 32_000;
/** Spreads the seeds, since generators with small seeds begin alike. */
const SEED_FACTOR = 0x9e3779b1;

/** Draws a series as days have them: several runners, bursts, lost answers, parts that many items share, and slow series. */
export function drawCrashSeries(seed: number, badItems: number): CrashSeriesOptions {
    const random = new SeededRandom(Math.imul(seed, SEED_FACTOR));
    const choose = <Choice>(choices: readonly Choice[]) => choices[Math.floor(random.next() * choices.length)]!;
    return {
        seed: Math.imul(seed, SEED_FACTOR),
        seriesMs: SERIES_MS,
        crashIntervalMs: choose([2000, 2000, 2000, 4000, 7000]),
        runners: choose([1, 2, 3]),
        parts: choose([1, 4, 20]),
        runMs: [1500, 8500],
        burst: choose([{ items: 1, intervalMs: 600 }, { items: 20, intervalMs: 8000 }]),
        // Lost answers are taken for crashes for some seconds. Without end, they also break off the probes that items which crash
        // upstreams make necessary.
        lostAnswersUntilMs: choose(badItems > 0 ? [0, SERIES_MS] : [0, SERIES_MS, Infinity]),
        hasOnline: choose([true, false]),
        badItems,
    };
}
