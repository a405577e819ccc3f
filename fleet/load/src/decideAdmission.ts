import type { AdmissionDecision } from "./admissionDecision.js";
import type { AdmissionInputs } from "./admissionInputs.js";
import { FIRST_RESPONSE_MS } from "./firstResponseMs.js";

const MIN_RETRY_AFTER_MS = 150;
/** Longest wait after which a caller is told to come back, in milliseconds. */
const MAX_RETRY_AFTER_MS = 1600;

/**
 * Answers lasting overload: a request that can't be on time is refused at once, with the time after which a slot is
 * likely free; one that has come back waits as long as its caller does, since it would not come a third time.
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

/** Slots come free one after the other, each after a share of the mean hold. */
function expectedWaitOf(inputs: AdmissionInputs): number {
    return inputs.slots === 0 ? MAX_RETRY_AFTER_MS : (inputs.waitingAhead + 1) * inputs.meanHoldMs / inputs.slots;
}
