import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";

/** What the fleet knows of a prompt part or a request that may crash upstreams of a service. */
export interface Suspicion {
    service: ServiceName;
    /** A part of prompts, or the fingerprint of a request. */
    part: RequestTraitId;
    /**
     * Number of times that the suspicion was disproved: by a complete response to a request with the part, or by another
     * part that explains the crashes.
     */
    disproofs: number;
    /** Upstream processes that broke off requests with the part since the last disproof, named by `crashId`, shape [crashes]. */
    crashes: UpstreamProcessKey[];
    /**
     * Further ones that turned out not to have crashed, as the process responded to a later run, shape [crashes]; undefined if
     * there are none.
     */
    withdrawn?: UpstreamProcessKey[];
    /** Number of these crashes of which each is under a request that began after the one before was known. */
    rounds: number;
    /** Whether any process remembers a complete response to a request with the part. */
    hasSucceeded: boolean;
    /** Whether requests with the part are rejected. */
    isQuarantined: boolean;
    /** Number of requests with the part that were let through to test whether it still crashes upstreams. */
    probes: number;
}
