import type { CrashExposure } from "./crashExposure.js";
import type { Suspicion } from "./suspicion.js";

/** A suspicion with what this process knows of its use. */
export interface SuspicionState {
    suspicion: Suspicion;
    changedAtMs: number;
    /** Time at which this process last rejected a request because of it, in milliseconds. */
    askedAtMs: number;
    /** Time at which this process last heard of it, in milliseconds. */
    heardAtMs: number;
    /** Whether the crash before its last change may have been a coincidence. */
    isDoubtful: boolean;
    /** The runs that crashes have broken off since the last disproof. */
    exposure: CrashExposure;
}
