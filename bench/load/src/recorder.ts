import { build, type Histogram } from "hdr-histogram-js";
import type { LatencySummary } from "./latencySummary.js";

const US_PER_MS = 1000;
const HIGHEST_US = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Records durations in an HDR histogram with a resolution of one microsecond, up to one hour. */
export class Recorder {
    private readonly histogram: Histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_US,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
        autoResize: true,
    });

    record(durationMs: number): void {
        const durationUs = Math.round(durationMs * US_PER_MS);
        this.histogram.recordValue(Math.min(HIGHEST_US, Math.max(1, durationUs)));
    }

    /** Adds the durations of another recorder. */
    add(other: Recorder): void {
        this.histogram.add(other.histogram);
    }

    percentileMs(percentile: number): number {
        return this.histogram.getValueAtPercentile(percentile) / US_PER_MS;
    }

    summary(): LatencySummary {
        return {
            count: this.histogram.totalCount,
            meanMs: this.histogram.mean / US_PER_MS,
            p50Ms: this.percentileMs(50),
            p90Ms: this.percentileMs(90),
            p99Ms: this.percentileMs(99),
            p999Ms: this.percentileMs(99.9),
            maxMs: this.histogram.maxValue / US_PER_MS,
        };
    }
}
