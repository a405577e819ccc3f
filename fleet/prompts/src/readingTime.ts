import type { ReadingSample } from "./readingSample.js";

/** Maximum number of samples of prompts with kept parts, which may be rare, and of the others. */
const MAX_SAMPLES = 64;
const MIN_PAIRS = 24;
/** Number of new samples after which the time is estimated again. */
const UPDATE_INTERVAL = 16;
/** Share of pairs in which the longer prompt takes longer. Below it, the difference may be chance. */
const MIN_RISING_SHARE = 0.7;

/**
 * Learns how long an upstream takes to read a token, from the times to first data and the tokens that had to be read. The
 * estimate is the median slope over pairs of a short and a long prompt (Theil and Sen), which single slow responses and
 * the constant part of the time don't change.
 */
export class ReadingTime {
    private readonly withKept: ReadingSample[] = [];
    private readonly withoutKept: ReadingSample[] = [];
    private sampleCount = 0;
    private estimateMs = 0;

    /** Time to read a token in milliseconds; 0 until it is known. */
    get perTokenMs(): number {
        return this.estimateMs;
    }

    add(sample: ReadingSample): void {
        const samples = sample.keptTokens > 0 ? this.withKept : this.withoutKept;
        samples.push(sample);
        if (samples.length > MAX_SAMPLES) {
            samples.shift();
        }
        this.sampleCount += 1;
        if (this.sampleCount % UPDATE_INTERVAL === 0) {
            this.estimateMs = estimateOf([...this.withKept, ...this.withoutKept]);
        }
    }
}

/** Pairs the shortest prompt with the longest one, the second shortest with the second longest, and so on. */
function estimateOf(samples: readonly ReadingSample[]): number {
    const sorted = samples.toSorted((left, right) => left.readTokens - right.readTokens);
    const slopes = sorted
        .slice(0, sorted.length >>> 1)
        .map((short, index) => ({ short, long: sorted[sorted.length - 1 - index]! }))
        .filter(({ short, long }) => long.readTokens > short.readTokens)
        .map(({ short, long }) => (long.timeMs - short.timeMs) / (long.readTokens - short.readTokens))
        .sort((left, right) => left - right);
    const rising = slopes.filter(slope => slope > 0).length;
    return slopes.length >= MIN_PAIRS && rising >= slopes.length * MIN_RISING_SHARE ? slopes[slopes.length >>> 1]! : 0;
}
