import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";

/** An online request that wants a place at an upstream. */
export interface QueuedRequest {
    service: ServiceName;
    /** 0 is the most urgent. */
    priority: number;
    arrivedAtMs: number;
    /** Until when an answer is on time. */
    objectiveAtMs: number;
    /** When the caller gives up. */
    callerTimeoutAtMs: number;
    /** Whether the caller was refused before and has come back. */
    isRetry: boolean;
    /** Upstreams that must not get the request again. */
    excluded: ReadonlySet<UpstreamId>;
    onPlaced(upstream: Upstream): void;
    /** The request has not run; the caller may come back in `retryAfterMs`. */
    onRejected(retryAfterMs: number, reason: string): void;
}
