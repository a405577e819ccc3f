import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";

/** One online call of the workload. */
export interface OnlineArrival {
    /** Since the start of the workload. */
    atMs: number;
    request: GenerateRequest;
    outputTokens: number;
}
