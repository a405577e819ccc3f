import type { UpstreamCandidate } from "./upstreamCandidate.js";

/** A candidate and its load including one more request, relative to its capacity and weight. */
export interface WeightedLoad {
    candidate: UpstreamCandidate;
    load: number;
}
