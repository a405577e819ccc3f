import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { UpstreamCandidate } from "./upstreamCandidate.js";

/** Input of a choice: the candidates and the properties of the request. */
export interface ChooseRequest {
    /** Shape [candidates]. */
    candidates: readonly UpstreamCandidate[];
    /** Requests with the same key go to the same upstream as far as load allows. */
    affinityKey?: string | undefined;
    /** Hashes of the prompt's leading blocks, each covering all text up to the end of its block; shape [blocks]. */
    promptBlocks?: readonly string[] | undefined;
    role?: "prefill" | "decode" | undefined;
    /** Upstreams already tried for this request. */
    excluded?: readonly InstanceId[] | undefined;
    nowMs: number;
}
