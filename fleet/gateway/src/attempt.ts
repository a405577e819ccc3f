import type { PromptRun } from "@knapweedwood/fleet.prompts/promptRun";
import type { RequestRun } from "@knapweedwood/fleet.quarantine/requestRun";
import type { Exchange } from "@knapweedwood/fleet.upstreams/exchange";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { ResponseSampler } from "./responseSampler.js";
import type { StallDetector } from "./stallDetector.js";

/** One attempt of an online request at an upstream. */
export interface Attempt {
    upstream: Upstream;
    exchange: Exchange;
    startedAtMs: number;
    stallDetector: StallDetector;
    sampler: ResponseSampler;
    promptRun: PromptRun;
    /** Whether the upstream has responded that it doesn't run the request. */
    isNotRun: boolean;
    /** Whether the upstream doesn't run the request because it is full. */
    isFull: boolean;
    /** Bytes of the body of a response that says that the upstream doesn't run the request. */
    notRunBodyBytes: number;
    /** Whether the response has come in too many small parts. */
    hasTinyParts: boolean;
    requestRun: RequestRun;
}
