/** One observed step. */
export interface StepSample {
    durationMs: number;
    /** Sequences that the step carried. */
    sequences: number;
    /** Prompt tokens that the step processed. */
    prefillTokens: number;
}
