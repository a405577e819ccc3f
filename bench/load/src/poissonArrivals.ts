import type { Random } from "@knapweedwood/core.random/random";

const MS_PER_S = 1000;

/**
 * Draws the arrivals of a Poisson process with a constant rate.
 *
 * @returns arrival times in milliseconds from the start, ascending, shape [arrivals]
 */
export function poissonArrivals(opts: { ratePerS: number; durationMs: number; random: Random; }): number[] {
    const arrivals: number[] = [];
    if (opts.ratePerS <= 0) {
        return arrivals;
    }
    const gapMs = () => -Math.log(1 - opts.random.next()) * MS_PER_S / opts.ratePerS;
    for (let atMs = gapMs(); atMs < opts.durationMs; atMs += gapMs()) {
        arrivals.push(atMs);
    }
    return arrivals;
}
