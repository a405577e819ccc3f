import type { Quantiles } from "./quantiles.js";

/** What `knapweed bench config` writes. */
export interface ConfigChurnReport {
    processes: number;
    publishes: { accepted: number; refused: number; unknown: number; };
    faults: { kills: number; pauses: number; outages: number; lostAnswers: number; };
    /** From the publish until the last undisturbed process had the revision. */
    inForceEverywhere: Quantiles;
    /** From the publish until one process had the revision, over all undisturbed processes. */
    inForceOneProcess: Quantiles;
    /** Times that a process went to a lower revision. */
    reversals: number;
    /** Accepted revisions that the final one does not follow. */
    lostRevisions: number;
    /** Processes that had the last revision at the end. */
    agreed: { reached: number; total: number; };
}
