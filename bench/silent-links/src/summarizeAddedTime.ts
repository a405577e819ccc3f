import { build } from "hdr-histogram-js";
import type { AddedTime } from "./addedTime.js";
import type { CallRecord } from "./callRecord.js";

const MICROSECONDS_PER_MS = 1000;

/** Summarizes the added latency of calls. Negative values count as zero. */
export function summarizeAddedTime(records: readonly CallRecord[]): AddedTime {
    const histogram = build();
    records.forEach(({ addedMs }) => histogram.recordValue(Math.max(0, Math.round(addedMs * MICROSECONDS_PER_MS))));
    const quantileMs = (percentile: number) => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return {
        callCount: records.length,
        p50Ms: quantileMs(50),
        p99Ms: quantileMs(99),
        maxMs: histogram.maxValue / MICROSECONDS_PER_MS,
    };
}
