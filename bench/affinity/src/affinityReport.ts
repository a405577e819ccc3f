import type { AffinityOptions } from "./affinityOptions.js";
import type { ArmResult } from "./armResult.js";

/** Results of the benchmark. Every arm handles the same arrivals. */
export interface AffinityReport extends AffinityOptions {
    /** Result of each arm, shape [arms]. */
    arms: ArmResult[];
    /** Hit share of the prefix index with events, divided by that of random choice. */
    hitsOverRandom: number;
    /** Hit share of the prefix index with events, divided by that of full knowledge. */
    hitsOverFullKnowledge: number;
}
