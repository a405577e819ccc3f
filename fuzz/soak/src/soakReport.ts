import type { UpstreamSizes } from "./upstreamSizes.js";
import type { Violation } from "./violation.js";

/** The outcome of one soak. */
export interface SoakReport {
    seed: number;
    violations: Violation[];
    /** The injected faults, each as `TIME_MS KIND TARGET`. */
    faults: string[];
    /** Number of calls, including probes. */
    calls: number;
    /** Whether the configuration has teams. */
    hasTeams: boolean;
    upstreamSizes: UpstreamSizes;
    /** Number of times that the crashing request ended an upstream. */
    crashes: number;
    /** Number of calls that got a complete response with status 200. */
    served: number;
    /** Number of calls that got status 429 and 401, and of reads of jobs with another team's key. */
    limited: number;
    unknownKeys: number;
    foreignReads: number;
    /** Number of times that an upstream named a limit for long enough that it binds. */
    upstreamLimits: number;
    /** Number of accepted jobs. */
    jobs: number;
    /** Number of items whose result a caller has read. */
    items: number;
}
