import type { Upstream } from "@knapweedwood/fleet.view/upstream";

/** An upstream that may run items, with its current load. */
export interface BatchCandidate {
    upstream: Upstream;
    /** Online requests at the upstream, of all processes. */
    online: number;
    /** Batch items at the upstream, of all processes. */
    batch: number;
    /** Ratio of the time that an item takes there to that at the service's mean speed; 1 if missing. */
    slowness?: number;
}
