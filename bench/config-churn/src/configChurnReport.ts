import type { Quantiles } from "./quantiles.js";

/** Report of `knapweed bench config`. */
export interface ConfigChurnReport {
    processes: number;
    publishes: { accepted: number; refused: number; unknown: number; };
    faults: { kills: number; pauses: number; outages: number; lostAnswers: number; };
    /** Time from a publish until all undisturbed processes had adopted the revision. */
    inForceEverywhere: Quantiles;
    /** Time from a publish until each single undisturbed process had adopted the revision. */
    inForceOneProcess: Quantiles;
    /** Adoptions of a revision that was not higher than the process's previous revision. */
    reversals: number;
    /** Accepted revisions above the final revision, and accepted publishes that share a revision with another one. */
    lostRevisions: number;
    /** Processes that had adopted the final revision at the end. */
    agreed: { reached: number; total: number; };
}
