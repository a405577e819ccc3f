import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";

/** Online call of a workload with its arrival time. */
export interface OnlineArrival {
    /** Arrival time since the start of the workload. */
    atMs: number;
    request: GenerateRequest;
    outputTokens: number;
}
