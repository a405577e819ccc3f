import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** The result of a request that was sent to an upstream. Each choice is followed by one observation. */
export interface UpstreamObservation {
    instanceId: InstanceId;
    /**
     * `slow` counts towards the share of failures, but not as a consecutive failure. `abandoned` does not affect
     * ejection: the caller disconnected, or a hedged request was faster.
     */
    kind: "success" | "failure" | "slow" | "abandoned";
    /** Time to the first byte of the response, in milliseconds. */
    durationMs: number;
    nowMs: number;
}
