import type { AdmissionDecision } from "./admissionDecision.js";
import type { AdmissionInputs } from "./admissionInputs.js";
import { FIRST_RESPONSE_MS } from "./firstResponseMs.js";

const MIN_RETRY_AFTER_MS = 150;
/** Longest retry delay that a rejected caller is given, in milliseconds. */
const MAX_RETRY_AFTER_MS = 1600;

/**
 * Decides whether a request waits, to limit the queue under sustained overload. A first attempt that would miss its
 * objective is rejected immediately, with the time after which a slot is likely to be free. A retry may wait until its
 * caller times out, since the caller would not retry a second time.
 */
export function decideAdmission(inputs: AdmissionInputs): AdmissionDecision {
    const expectedWaitMs = expectedWaitOf(inputs);
    const allowedMs = inputs.isRetry ? inputs.callerTimeLeftMs : inputs.objectiveLeftMs;
    if (inputs.slots > 0 && expectedWaitMs + FIRST_RESPONSE_MS <= allowedMs) {
        return { kind: "wait", expectedWaitMs };
    }
    const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs));
    return { kind: "reject", expectedWaitMs, retryAfterMs };
}

/** Returns the expected wait in milliseconds, assuming that slots become free at even intervals of the mean hold. */
function expectedWaitOf(inputs: AdmissionInputs): number {
    return inputs.slots === 0 ? MAX_RETRY_AFTER_MS : (inputs.waitingAhead + 1) * inputs.meanHoldMs / inputs.slots;
}
