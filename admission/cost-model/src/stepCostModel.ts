import { RecursiveLeastSquares } from "./recursiveLeastSquares.js";
import type { StepCosts } from "./stepCosts.js";
import { stepDurationMs } from "./stepDurationMs.js";
import type { StepSample } from "./stepSample.js";

/** Units in which sequences and prefill tokens enter the estimate, so that all features are of one magnitude. */
const SEQUENCES_UNIT = 16;
const PREFILL_TOKENS_UNIT = 256;
/** Weight that a sample loses with each later one; the model follows a drift within some hundred steps. */
const FORGETTING_FACTOR = 0.998;
/** A sample that exceeds its prediction by this factor counts as a pause of the process, not as a step. */
const OUTLIER_FACTOR = 3;
/** After so many outliers in a row they are the new truth. */
const MAX_CONSECUTIVE_OUTLIERS = 8;
const ERROR_SMOOTHING = 0.05;

/** Learns the cost of an engine's steps from observed ones, by recursive least squares with forgetting. */
export class StepCostModel {
    private readonly estimator: RecursiveLeastSquares;
    private consecutiveOutliers = 0;
    private smoothedError = 0;
    private count = 0;

    constructor(opts: { initial: StepCosts; }) {
        this.estimator = new RecursiveLeastSquares({
            initial: [
                opts.initial.fixedMs,
                opts.initial.perSequenceMs * SEQUENCES_UNIT,
                opts.initial.perPrefillTokenMs * PREFILL_TOKENS_UNIT,
            ],
            forgettingFactor: FORGETTING_FACTOR,
        });
    }

    /** The costs as learned so far; never negative. */
    get costs(): StepCosts {
        const [fixed = 0, perSequence = 0, perPrefillToken = 0] = this.estimator.coefficients
            .map(coefficient => Math.max(0, coefficient));
        return {
            fixedMs: fixed,
            perSequenceMs: perSequence / SEQUENCES_UNIT,
            perPrefillTokenMs: perPrefillToken / PREFILL_TOKENS_UNIT,
        };
    }

    /** Samples taken in. */
    get sampleCount(): number {
        return this.count;
    }

    /** Mean absolute share by which recent predictions were off. */
    get relativeError(): number {
        return this.smoothedError;
    }

    /** Takes in an observed step. */
    observe(sample: StepSample): void {
        const predictedMs = stepDurationMs(this.costs, sample);
        if (this.isOutlier(sample, predictedMs)) {
            return;
        }
        const error = Math.abs(sample.durationMs - predictedMs) / Math.max(1, predictedMs);
        this.smoothedError += ERROR_SMOOTHING * (error - this.smoothedError);
        this.count += 1;
        this.estimator.update(
            [1, sample.sequences / SEQUENCES_UNIT, sample.prefillTokens / PREFILL_TOKENS_UNIT],
            sample.durationMs,
        );
    }

    private isOutlier(sample: StepSample, predictedMs: number): boolean {
        const exceedsFactor = this.count > 0 && sample.durationMs > predictedMs * OUTLIER_FACTOR;
        this.consecutiveOutliers = exceedsFactor ? this.consecutiveOutliers + 1 : 0;
        return exceedsFactor && this.consecutiveOutliers <= MAX_CONSECUTIVE_OUTLIERS;
    }
}
