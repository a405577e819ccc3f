import fc from "fast-check";
import { checkOutcome } from "./checkOutcome.js";
import { defaultSimulationOptions } from "./defaultSimulationOptions.js";
import { FuzzCase } from "./fuzzCase.js";
import { FuzzCommand } from "./fuzzCommand.js";
import type { FuzzReport } from "./fuzzReport.js";
import type { SimulationOptions } from "./simulationOptions.js";
import { stepArbitraries } from "./stepArbitraries.js";

const MAX_COMMANDS = 40;
const MAX_SEED = 1_000_000;

/**
 * Runs `runs` random cases against the real components and checks the promises after each step and at the end.
 *
 * The same seed gives the same cases. A broken promise doesn't reject the run; the report describes it.
 */
export async function fuzzPromises(opts: {
    seed: number;
    runs: number;
    options?: SimulationOptions;
    /** The path of a shrunk case, to replay only that case. */
    path?: string;
    /** Whether a failing case is shrunk; true by default. */
    shrinks?: boolean;
}): Promise<FuzzReport> {
    const commands = fc.commands(stepArbitraries.map(steps => steps.map(step => new FuzzCommand(step))), {
        maxCommands: MAX_COMMANDS,
        size: "max",
    });
    const property = fc.asyncProperty(fc.nat({ max: MAX_SEED }), commands, async (caseSeed, steps) => {
        const fuzzCase = new FuzzCase({ seed: caseSeed, options: opts.options ?? defaultSimulationOptions });
        await fuzzCase.start();
        await fc.asyncModelRun(() => ({ model: {}, real: fuzzCase }), steps);
        await checkOutcome(fuzzCase);
    });
    const details = await fc.check(property, {
        seed: opts.seed,
        numRuns: opts.runs,
        path: opts.path,
        endOnFailure: opts.shrinks === false,
    });
    return {
        hasFailed: details.failed,
        runCount: details.numRuns,
        path: details.counterexamplePath ?? undefined,
        message: details.failed
            ? `${String(details.errorInstance)}\n${await fc.asyncDefaultReportMessage(details) ?? ""}`
            : undefined,
    };
}
