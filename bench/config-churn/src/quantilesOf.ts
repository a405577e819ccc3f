import type { Quantiles } from "./quantiles.js";

/** Returns quantiles by nearest rank; the values may be unsorted. All are 0 where there are no values. */
export function quantilesOf(valuesMs: readonly number[]): Quantiles {
    const sorted = [...valuesMs].sort((left, right) => left - right);
    const at = (share: number) => sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
    return { p50Ms: at(0.5), p99Ms: at(0.99), maxMs: at(1), count: sorted.length };
}
