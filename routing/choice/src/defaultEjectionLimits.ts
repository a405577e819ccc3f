import type { EjectionLimits } from "./ejectionLimits.js";

/** Ejects an upstream after three consecutive failures, and a slow one at three times the median of its peers. */
export const defaultEjectionLimits: EjectionLimits = {
    consecutiveFailures: 3,
    failureShare: 0.5,
    slowFactor: 3,
    minimumObservations: 10,
    baseMs: 1000,
    maxMs: 60_000,
    maxEjectedShare: 0.5,
};
