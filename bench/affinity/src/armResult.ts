import type { ArmName } from "./armName.js";

/** Result of one strategy for choosing an upstream. */
export interface ArmResult {
    name: ArmName;
    requestCount: number;
    /** Prompt tokens that were found in a cache, as a share of all prompt tokens, in [0, 1]. */
    hitShare: number;
    firstTokenP50Ms: number;
    firstTokenP99Ms: number;
    /** Largest number of queued and running requests at one upstream. */
    peakLoad: number;
}
