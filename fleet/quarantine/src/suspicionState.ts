import type { Suspicion } from "./suspicion.js";

/** A suspicion with what this process knows of its use. */
export interface SuspicionState {
    suspicion: Suspicion;
    changedAtMs: number;
    /** Time at which this process last rejected a request because of it, in milliseconds. */
    askedAtMs: number;
    /** Time at which this process last heard of it, in milliseconds. */
    heardAtMs: number;
}
