import type { AdmissionDecision } from "./admissionDecision.js";
import type { AdmissionInputs } from "./admissionInputs.js";

const MIN_RETRY_AFTER_MS = 150;
/** Longest retry delay, as a share of the time that the caller has left. A caller that returns needs the rest. */
const MAX_RETRY_SHARE = 1 / 3;

/**
 * Decides whether a request waits, to limit the queue under sustained overload. A first attempt that would miss its
 * objective is rejected immediately, with the time after which a slot is likely to be free. A retry may wait until its
 * caller times out, since the caller would not retry a second time.
 */
export function decideAdmission(inputs: AdmissionInputs): AdmissionDecision {
    const expectedWaitMs = expectedWaitOf(inputs);
    const maxRetryAfterMs = inputs.deadlineLeftMs * MAX_RETRY_SHARE;
    const allowedMs = inputs.isRetry ? inputs.callerTimeLeftMs : inputs.objectiveLeftMs;
    if (inputs.slots > 0 && expectedWaitMs + inputs.meanFirstDataMs <= allowedMs) {
        return { kind: "wait", expectedWaitMs };
    }
    const retryAfterMs = Math.min(maxRetryAfterMs, Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs));
    return { kind: "reject", expectedWaitMs, retryAfterMs };
}

/**
 * Returns the expected wait in milliseconds, assuming that slots become free at even intervals of the mean hold;
 * infinity without slots.
 */
function expectedWaitOf(inputs: AdmissionInputs): number {
    return inputs.slots === 0 ? Infinity : (inputs.waitingAhead + 1) * inputs.meanHoldMs / inputs.slots;
}
