import type { AdmissionInputs } from "./admissionInputs.js";

/**
 * Factor by which slots may become free faster than expected, since hold times vary and callers ahead may leave. A request
 * that could still be served must not be rejected.
 */
const MAX_SPEEDUP = 2;

/**
 * Whether a waiting request is certain enough to miss its caller's timeout: even if slots became free twice as fast as
 * expected, its first data would arrive later. Not for requests whose response has begun: they go first, and a rejection
 * would waste what their callers have received. False without any slot, since upstreams may return at any time.
 */
export function isUnreachable(inputs: AdmissionInputs): boolean {
    return inputs.slots > 0
        && inputs.waitingAhead * inputs.meanHoldMs / inputs.slots / MAX_SPEEDUP + inputs.meanFirstDataMs
            > inputs.callerTimeLeftMs;
}
