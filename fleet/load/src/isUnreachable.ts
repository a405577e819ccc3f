import type { AdmissionInputs } from "./admissionInputs.js";

/**
 * Factor by which slots may become free faster than expected. Holds vary, and callers ahead may leave; a request that
 * could still be served must not be rejected.
 */
const MAX_SPEEDUP = 2;

/**
 * Whether a waiting request is certain enough to miss its caller's timeout: even if slots became free twice as fast as
 * expected, its first data would arrive later. Requests whose response has begun aren't judged, since they go first and
 * their callers would lose what they have. Without any slot nothing is certain, since upstreams may return at once.
 */
export function isUnreachable(inputs: AdmissionInputs): boolean {
    return inputs.slots > 0
        && inputs.waitingAhead * inputs.meanHoldMs / inputs.slots / MAX_SPEEDUP + inputs.meanFirstDataMs
            > inputs.callerTimeLeftMs;
}
