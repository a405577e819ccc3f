import type { DecisionFigures } from "./decisionFigures.js";
import type { DecisionPolicy } from "./decisionPolicy.js";
import { loadPatterns } from "./loadPatterns.js";
import { simulateDecisions } from "./simulateDecisions.js";

const POLICIES: DecisionPolicy[] = ["ours", "first-come", "forwarder"];

/**
 * Simulates each load with each policy.
 *
 * @returns means over the seeds, shape [loads * policies]
 */
export function compareDecisions(opts: { seed: number; seeds: number; }): DecisionFigures[] {
    return loadPatterns.flatMap(load =>
        POLICIES.map(policy => {
            const runs = Array.from(
                { length: opts.seeds },
                (_, index) => simulateDecisions({ policy, load, seed: opts.seed + index }),
            );
            return { ...runs[0]!, ...meansOf(runs) };
        })
    );
}

function meansOf(runs: DecisionFigures[]): Partial<DecisionFigures> {
    const names = Object.keys(runs[0]!) as (keyof DecisionFigures)[];
    const numbers = names.filter(name => typeof runs[0]![name] === "number");
    return Object.fromEntries(
        numbers.map(name => [name, runs.reduce((sum, run) => sum + (run[name] as number), 0) / runs.length]),
    );
}
