import type { StepModel } from "./stepModel.js";

/** The step model of a stand-in engine that was given no other. */
export const defaultStepModel: StepModel = {
    fixedMs: 5,
    perSequenceMs: 0.2,
    perPrefillTokenMs: 0.02,
    maxSequences: 64,
    maxPrefillTokensPerStep: 512,
    kvTokensLimit: 65_536,
    prefixCacheTokens: 16_384,
    loadLagMs: 500,
};
