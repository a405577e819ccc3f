/** Cost of one engine step, in milliseconds: a fixed part, and parts per sequence and per prefill token. */
export interface StepCosts {
    fixedMs: number;
    perSequenceMs: number;
    perPrefillTokenMs: number;
}
