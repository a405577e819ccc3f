import { RecursiveLeastSquares } from "./recursiveLeastSquares.js";
import type { StepCosts } from "./stepCosts.js";
import { stepDurationMs } from "./stepDurationMs.js";
import type { StepSample } from "./stepSample.js";

/** Units of sequences and prefill tokens in the estimate. They bring all features to a similar magnitude. */
const SEQUENCES_UNIT = 16;
const PREFILL_TOKENS_UNIT = 256;
/** Each sample multiplies the weight of all earlier ones by this factor. Drift is followed in a few hundred steps. */
const FORGETTING_FACTOR = 0.998;
/** A sample that exceeds its prediction by this factor is treated as a pause of the process, not as a step. */
const OUTLIER_FACTOR = 3;
/** After this many consecutive outliers, further ones are accepted as regular samples. */
const MAX_CONSECUTIVE_OUTLIERS = 8;
const ERROR_SMOOTHING = 0.05;

/** Estimates the step costs of an engine from observed steps, by recursive least squares with forgetting. */
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

    /** Current cost estimate; never negative. */
    get costs(): StepCosts {
        const [fixed = 0, perSequence = 0, perPrefillToken = 0] = this.estimator.coefficients
            .map(coefficient => Math.max(0, coefficient));
        return {
            fixedMs: fixed,
            perSequenceMs: perSequence / SEQUENCES_UNIT,
            perPrefillTokenMs: perPrefillToken / PREFILL_TOKENS_UNIT,
        };
    }

    /** Number of accepted samples. */
    get sampleCount(): number {
        return this.count;
    }

    /** Mean absolute relative error of recent predictions. */
    get relativeError(): number {
        return this.smoothedError;
    }

    /** Updates the estimate with an observed step. Outliers are ignored. */
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
