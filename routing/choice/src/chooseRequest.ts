import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { UpstreamCandidate } from "./upstreamCandidate.js";

/** What a choice is made from. */
export interface ChooseRequest {
    /** Shape [candidates]. */
    candidates: readonly UpstreamCandidate[];
    /** Requests with the same key are kept together as long as load allows. */
    affinityKey?: string | undefined;
    /** Hashes of the prompt's leading blocks, each of all text up to its end; shape [blocks]. */
    promptBlocks?: readonly string[] | undefined;
    role?: "prefill" | "decode" | undefined;
    /** Upstreams already tried for this request. */
    excluded?: readonly InstanceId[] | undefined;
    nowMs: number;
}
