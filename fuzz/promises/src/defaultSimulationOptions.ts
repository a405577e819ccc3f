import type { SimulationOptions } from "./simulationOptions.js";

/** The options of a simulation without mutations: every component follows its protocol. */
export const defaultSimulationOptions: SimulationOptions = {
    wrapKeyValue: keyValue => keyValue,
    copyCount: undefined,
    retriesUnknown: false,
    repeatsItems: false,
    skipsClaim: false,
    reportsOnce: false,
    ignoresCancel: false,
};
