import type { ArmName } from "./armName.js";

/** How one way of choosing did. */
export interface ArmResult {
    name: ArmName;
    requestCount: number;
    /** Prompt tokens that were found in a cache, as a share of all. */
    hitShare: number;
    firstTokenP50Ms: number;
    firstTokenP99Ms: number;
    /** Largest number of requests that waited or ran at one upstream. */
    peakLoad: number;
}
