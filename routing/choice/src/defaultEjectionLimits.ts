import type { EjectionLimits } from "./ejectionLimits.js";

/** Ejects a dead upstream after three failures in a row and a slow one at three times its peers' median. */
export const defaultEjectionLimits: EjectionLimits = {
    consecutiveFailures: 3,
    failureShare: 0.5,
    slowFactor: 3,
    minimumObservations: 10,
    baseMs: 1000,
    maxMs: 60_000,
    maxEjectedShare: 0.5,
};
