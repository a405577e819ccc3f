import type { Random } from "@knapweedwood/core.random/random";

/** Draws an integer from a log-normal distribution, clamped to the bounds. */
export function sampleLogNormal(
    random: Random,
    opts: { median: number; sigma: number; min: number; max: number; },
): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    const value = opts.median * Math.exp(opts.sigma * normal);
    return Math.round(Math.min(opts.max, Math.max(opts.min, value)));
}
