import type { BurstArrivalsOptions } from "./burstArrivalsOptions.js";
import { exponentialGap } from "./exponentialGap.js";
import { poissonArrivals } from "./poissonArrivals.js";

/**
 * Draws arrivals in bursts, starting with an off period.
 *
 * @returns arrival times in milliseconds from the start, ascending, shape [arrivals]
 */
export function burstArrivals(opts: BurstArrivalsOptions): number[] {
    const arrivals: number[] = [];
    let startMs = 0;
    let isOn = false;
    while (startMs < opts.durationMs) {
        const meanMs = isOn ? opts.meanOnMs : opts.meanOffMs;
        const periodMs = exponentialGap(opts.random, meanMs);
        const durationMs = Math.min(periodMs, opts.durationMs - startMs);
        const ratePerS = isOn ? opts.onRatePerS : opts.offRatePerS;
        const offsetMs = startMs;
        arrivals.push(...poissonArrivals({ ratePerS, durationMs, random: opts.random }).map(atMs => atMs + offsetMs));
        startMs += periodMs;
        isOn = !isOn;
    }
    return arrivals;
}
