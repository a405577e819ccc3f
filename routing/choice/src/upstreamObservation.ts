import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** How a request that was sent to an upstream ended. One follows each choice. */
export interface UpstreamObservation {
    instanceId: InstanceId;
    /** `abandoned` says nothing of the upstream: the caller went away, or a hedge was faster. */
    kind: "success" | "failure" | "slow" | "abandoned";
    /** Time to the first byte of the answer. */
    durationMs: number;
    nowMs: number;
}
