import type { Violation } from "./violation.js";

/** What one soak has shown. */
export interface SoakReport {
    seed: number;
    violations: Violation[];
    /** The trouble that was made, with its time and target. */
    faults: string[];
    calls: number;
    served: number;
    /** Accepted jobs. */
    jobs: number;
    /** Items with a result that a caller has read. */
    items: number;
}
