import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** How one simulated call for a stream went. */
export interface StreamOutcome {
    arrivedAtMs: number;
    placedAtMs: number | undefined;
    upstreamId: UpstreamId | undefined;
    firstEventAtMs: number | undefined;
    isRejected: boolean;
}
