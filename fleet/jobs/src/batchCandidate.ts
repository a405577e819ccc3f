import type { Upstream } from "@knapweedwood/fleet.view/upstream";

/** An upstream that may run items, with its current load. */
export interface BatchCandidate {
    upstream: Upstream;
    /** Online requests at the upstream, of all processes. */
    online: number;
    /** Batch items at the upstream, of all processes. */
    batch: number;
}
