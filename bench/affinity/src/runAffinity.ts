import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { AffinityOptions } from "./affinityOptions.js";
import type { AffinityReport } from "./affinityReport.js";
import type { ArmName } from "./armName.js";
import { generateArrivals } from "./generateArrivals.js";
import { runArm } from "./runArm.js";

const MS_PER_SECOND = 1000;
const ARMS: ArmName[] = [
    "random",
    "least-loaded-of-two",
    "prefix-hash",
    "prefix-index",
    "prefix-index-with-events",
    "full-knowledge",
];

/** Simulates the same conversations with each strategy for choosing an upstream. */
export function runAffinity(opts: AffinityOptions): AffinityReport {
    const arrivals = generateArrivals({
        ...opts,
        durationMs: opts.seconds * MS_PER_SECOND,
        random: new SeededRandom(opts.seed),
    });
    const arms = ARMS.map(arm => runArm(arm, arrivals, opts));
    const hitsOf = (name: ArmName) => arms.find(arm => arm.name === name)!.hitShare;
    return {
        ...opts,
        arms,
        hitsOverRandom: hitsOf("prefix-index-with-events") / hitsOf("random"),
        hitsOverFullKnowledge: hitsOf("prefix-index-with-events") / hitsOf("full-knowledge"),
    };
}
