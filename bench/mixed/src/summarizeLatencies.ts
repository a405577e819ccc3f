import type { LatencySummary } from "./latencySummary.js";

/**
 * Computes count and quantiles of the samples; quantiles are 0 where there are none.
 *
 * @param samplesMs shape [samples]
 */
export function summarizeLatencies(samplesMs: number[]): LatencySummary {
    const sorted = [...samplesMs].sort((left, right) => left - right);
    const quantile = (share: number) => sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
    return { count: sorted.length, p50Ms: quantile(0.5), p99Ms: quantile(0.99), p999Ms: quantile(0.999) };
}
