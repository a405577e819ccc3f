import type { BrokenProbe } from "./brokenProbe.js";
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
    /** Time at which this process learned that the trait is quarantined, in milliseconds; -infinity if it isn't. */
    quarantinedAtMs: number;
    /** Time at which this process learned of the last probe since, in milliseconds; -infinity if there was none. */
    probedAtMs: number;
    /** Time since the last probe at which this process learned that one of the upstreams lives on, in milliseconds; -infinity if none does. */
    clearedAtMs: number;
    /** How the last probe was broken off, if it was and was one of this process. */
    brokenProbe: BrokenProbe | undefined;
    /** Whether this process has seen neither the crashes that led to the quarantine nor a probe. */
    isUnverified: boolean;
    /** The runs that crashes have broken off since the last disproof. */
    exposure: CrashExposure;
}
