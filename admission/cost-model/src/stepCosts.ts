/** What one step of an engine costs. */
export interface StepCosts {
    fixedMs: number;
    perSequenceMs: number;
    perPrefillTokenMs: number;
}
