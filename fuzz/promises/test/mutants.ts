import { defaultSimulationOptions } from "../src/defaultSimulationOptions.js";
import type { SimulationOptions } from "../src/simulationOptions.js";
import { MutantKeyValueService } from "./mutantKeyValueService.js";

interface Mutant {
    name: string;
    seed: number;
    options: SimulationOptions;
}

type Mutation = ConstructorParameters<typeof MutantKeyValueService>[1];

const withKeyValue = (mutation: Mutation): SimulationOptions => ({
    ...defaultSimulationOptions,
    wrapKeyValue: keyValue => new MutantKeyValueService(keyValue, mutation),
});
const withOptions = (options: Partial<SimulationOptions>): SimulationOptions => ({
    ...defaultSimulationOptions,
    ...options,
});

/** Deliberate faults, each with a seed whose cases reveal it. */
export const mutants: Mutant[] = [
    { name: "fencing check dropped", seed: 7, options: withKeyValue({ dropsCompares: ["/partitions/"] }) },
    { name: "progress written without comparison", seed: 8, options: withKeyValue({ dropsCompares: ["/progress/"] }) },
    {
        name: "idempotency key not compared",
        seed: 1,
        options: withKeyValue({ dropsCompares: ["/idempotency/"] }),
    },
    {
        name: "claims committed without owner or order",
        seed: 6,
        options: withKeyValue({ dropsCompares: ["/claims/"] }),
    },
    { name: "ownership without a lease", seed: 1, options: withKeyValue({ dropsLeases: "/partitions/" }) },
    { name: "a lost answer taken for not run", seed: 8, options: withKeyValue({ assumedOutcome: "not-run" }) },
    { name: "a lost answer taken for success", seed: 8, options: withKeyValue({ assumedOutcome: "succeeded" }) },
    { name: "a claim taken as written", seed: 1, options: withKeyValue({ skipsWrites: "/claims/log/" }) },
    { name: "acknowledged at one copy", seed: 1, options: withOptions({ copyCount: 1 }) },
    { name: "an unknown outcome retried", seed: 1, options: withOptions({ retriesUnknown: true }) },
    { name: "an item that may not be repeated run twice", seed: 1, options: withOptions({ repeatsItems: true }) },
    { name: "a call sent before its claim", seed: 1, options: withOptions({ skipsClaim: true }) },
    { name: "a cancel ignored by sides", seed: 1, options: withOptions({ ignoresCancel: true }) },
];
