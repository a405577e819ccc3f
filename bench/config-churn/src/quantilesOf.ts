import type { Quantiles } from "./quantiles.js";

/** Quantiles of values in any order, by nearest rank. */
export function quantilesOf(valuesMs: readonly number[]): Quantiles {
    const sorted = [...valuesMs].sort((left, right) => left - right);
    const at = (share: number) => sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
    return { p50Ms: at(0.5), p99Ms: at(0.99), maxMs: at(1), count: sorted.length };
}
