import type { UpstreamCandidate } from "./upstreamCandidate.js";

/** A candidate with its load for one more request, relative to its capacity and weight. */
export interface WeightedLoad {
    candidate: UpstreamCandidate;
    load: number;
}
