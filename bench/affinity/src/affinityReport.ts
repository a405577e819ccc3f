import type { AffinityOptions } from "./affinityOptions.js";
import type { ArmResult } from "./armResult.js";

/** What the bench found, for the same arrivals in each arm. */
export interface AffinityReport extends AffinityOptions {
    /** Shape [arms]. */
    arms: ArmResult[];
    /** Hits of the index with events over those of random choice. */
    hitsOverRandom: number;
    /** Hits of the index with events over those of full knowledge. */
    hitsOverFullKnowledge: number;
}
