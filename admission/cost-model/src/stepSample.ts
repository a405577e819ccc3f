/** An observed engine step. */
export interface StepSample {
    durationMs: number;
    /** Number of sequences in the step. */
    sequences: number;
    /** Number of prompt tokens processed in the step. */
    prefillTokens: number;
}
