import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Team } from "@knapweedwood/fleet.view/team";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { PlacementRequest } from "./placementRequest.js";
import type { QueueEstimate } from "./queueEstimate.js";

/** An online request to be placed at an upstream. */
export interface QueuedRequest extends PlacementRequest {
    /** The team of the caller; undefined if callers need no key. */
    team: Team | undefined;
    service: ServiceName;
    /** The only software version that may run the request; undefined if any may. */
    softwareVersion: SoftwareVersion | undefined;
    /** 0 is the most urgent. */
    priority: number;
    arrivedAtMs: number;
    /** Time at which the caller times out, on the same clock. */
    callerTimeoutAtMs: number;
    /** The caller's deadline, on the same clock. The caller may return until then. */
    deadlineAtMs: number;
    /** Whether the caller retries a request that was rejected before. */
    isRetry: boolean;
    /** Whether a part of the response has been sent, so that its caller waits for the rest. */
    isStarted: boolean;
    /** Upstreams that must not receive the request again. */
    excluded: ReadonlySet<UpstreamId>;
    /** Returns the time for which the request must not run, in milliseconds; 0 if it may run now. */
    blockedForMs(): number;
    /** Called when the request may be sent to the upstream. */
    onPlaced(upstream: Upstream): void;
    /** Called when the request starts to wait for a slot. */
    onWaiting(estimate: QueueEstimate): void;
    /**
     * Called when the request is rejected without having run. The caller may retry after `retryAfterMs`.
     *
     * @param estimate what was expected for it; undefined if another reason rejected it
     */
    onRejected(retryAfterMs: number, reason: string, estimate?: QueueEstimate): void;
}
