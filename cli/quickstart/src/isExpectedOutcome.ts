import type { QuickstartOutcome } from "./quickstartOutcome.js";

/** Returns whether all calls got correct responses, each item ended once, and the expected number of items failed. */
export function isExpectedOutcome(outcome: QuickstartOutcome, expected: { failedItemCount: number; }): boolean {
    return outcome.callsAnswered === outcome.callsSent
        && outcome.callsWrong === 0
        && outcome.itemsLost === 0
        && outcome.itemsDuplicated === 0
        && outcome.failures.length === expected.failedItemCount
        && outcome.itemsCompleted === outcome.itemsAccepted - expected.failedItemCount;
}
