import type { Upstream } from "@knapweedwood/fleet.view/upstream";

/** An upstream that may run items, with what runs there. */
export interface BatchCandidate {
    upstream: Upstream;
    online: number;
    batch: number;
}
