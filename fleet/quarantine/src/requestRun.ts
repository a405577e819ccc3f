import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** One run of a request at an upstream, with what was known of its traits when it began. */
export interface RequestRun {
    service: ServiceName;
    /** Number of the run: greater than those of the crashes that were known when it began. */
    sequence: number;
    startedAtMs: number;
    /** From the trait that most requests share to that which the fewest share, shape [traits]. */
    traits: { trait: RequestTraitId; disproofs: number; rounds: number; }[];
}
