const RATE_WINDOW_MS = 1000;
const SIZE_SMOOTHING = 0.05;
const MS_PER_SECOND = 1000;

/** Recent arrivals of online calls: their rate decays over a second. */
export class ArrivalStatistics {
    private weight = 0;
    private lastMs = 0;
    private meanTokens = 0;

    /** When the last call arrived, in milliseconds. */
    get lastArrivalMs(): number {
        return this.lastMs;
    }

    get meanPrefillTokens(): number {
        return this.meanTokens;
    }

    add(nowMs: number, prefillTokens: number): void {
        this.weight = this.weightAt(nowMs) + 1;
        this.lastMs = nowMs;
        this.meanTokens += SIZE_SMOOTHING * (prefillTokens - this.meanTokens);
    }

    perSecond(nowMs: number): number {
        return this.weightAt(nowMs) * MS_PER_SECOND / RATE_WINDOW_MS;
    }

    private weightAt(nowMs: number): number {
        return this.weight * Math.exp(-(nowMs - this.lastMs) / RATE_WINDOW_MS);
    }
}
