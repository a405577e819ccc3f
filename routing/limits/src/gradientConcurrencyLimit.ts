import type { ConcurrencyLimit } from "./concurrencyLimit.js";

interface GradientConcurrencyLimitOptions {
    initialLimit: number;
    minLimit: number;
    maxLimit: number;
    /** Accepted ratio of the median duration to the baseline duration, such as 1.5. */
    tolerance: number;
    /** Number of successful calls after which the limit is adjusted. */
    windowSize: number;
}

const DROP_FACTOR = 0.8;
const SMOOTHING = 0.2;
const MIN_GRADIENT = 0.5;
/** Windows between probes. During a probe few calls run, so that the duration without queueing is measured again. */
const WINDOWS_BETWEEN_PROBES = 100;
const PROBE_SHARE = 0.25;

/**
 * Estimates how many concurrent calls a service can handle, from the ratio of the duration of an idle service to the
 * current duration (the gradient of Netflix's concurrency limits). The limit grows while durations stay short and
 * shrinks as queues build up.
 */
export class GradientConcurrencyLimit implements ConcurrencyLimit {
    private readonly opts: GradientConcurrencyLimitOptions;
    private estimatedLimit: number;
    private inFlightCount = 0;
    private peakInFlightCount = 0;
    private baselineMs = Number.POSITIVE_INFINITY;
    private windowDurationsMs: number[] = [];
    private windowsUntilProbe = WINDOWS_BETWEEN_PROBES;

    constructor(opts: Partial<GradientConcurrencyLimitOptions> = {}) {
        this.opts = { initialLimit: 20, minLimit: 1, maxLimit: 1000, tolerance: 1.5, windowSize: 20, ...opts };
        this.estimatedLimit = this.opts.initialLimit;
    }

    get limit(): number {
        const share = this.isProbing ? PROBE_SHARE : 1;
        return Math.max(this.opts.minLimit, Math.floor(this.estimatedLimit * share));
    }

    private get isProbing(): boolean {
        return this.windowsUntilProbe === 0;
    }

    tryAcquire(): boolean {
        if (this.inFlightCount >= this.limit) {
            return false;
        }
        this.inFlightCount += 1;
        this.peakInFlightCount = Math.max(this.peakInFlightCount, this.inFlightCount);
        return true;
    }

    release({ durationMs, kind }: { durationMs: number; kind: "success" | "dropped" | "ignored"; }): void {
        // The limit was reduced while the call ran. Its duration reflects the higher concurrency.
        const isOverLimit = this.inFlightCount > this.limit;
        this.inFlightCount = Math.max(0, this.inFlightCount - 1);
        if (kind === "dropped") {
            this.setLimit(this.estimatedLimit * DROP_FACTOR);
            this.windowDurationsMs = [];
        }
        else if (kind === "success" && !isOverLimit) {
            this.windowDurationsMs.push(durationMs);
        }
        if (this.windowDurationsMs.length >= this.opts.windowSize) {
            this.closeWindow();
        }
    }

    private closeWindow(): void {
        const sorted = this.windowDurationsMs.sort((left, right) => left - right);
        const medianMs = sorted[Math.floor(sorted.length / 2)];
        const isUnderused = this.peakInFlightCount < this.estimatedLimit / 2;
        this.windowDurationsMs = [];
        this.peakInFlightCount = this.inFlightCount;
        if (this.isProbing) {
            this.baselineMs = medianMs;
            this.windowsUntilProbe = WINDOWS_BETWEEN_PROBES;
            return;
        }
        this.windowsUntilProbe -= 1;
        this.baselineMs = Math.min(this.baselineMs, medianMs);
        this.adjust(medianMs, isUnderused);
    }

    private adjust(medianMs: number, isUnderused: boolean): void {
        const gradient = Math.max(MIN_GRADIENT, Math.min(1, this.opts.tolerance * this.baselineMs / medianMs));
        if (gradient < 1 || !isUnderused) {
            const queueAllowance = gradient === 1 ? Math.sqrt(this.estimatedLimit) : 0;
            const targetLimit = this.estimatedLimit * gradient + queueAllowance;
            this.setLimit(this.estimatedLimit + SMOOTHING * (targetLimit - this.estimatedLimit));
        }
    }

    private setLimit(limit: number): void {
        this.estimatedLimit = Math.min(this.opts.maxLimit, Math.max(this.opts.minLimit, limit));
    }
}
