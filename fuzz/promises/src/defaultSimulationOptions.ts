import type { SimulationOptions } from "./simulationOptions.js";

/** A simulation without mutants. */
export const defaultSimulationOptions: SimulationOptions = {
    wrapKeyValue: keyValue => keyValue,
    copyCount: undefined,
    retriesUnknown: false,
    repeatsItems: false,
    skipsClaim: false,
    reportsOnce: false,
    ignoresCancel: false,
};
