import type { StepModel } from "./stepModel.js";

/** The default step model of a stand-in engine. */
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
