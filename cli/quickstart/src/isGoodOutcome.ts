import type { QuickstartOutcome } from "./quickstartOutcome.js";

/** Whether every promise of the main job holds. */
export function isGoodOutcome(outcome: QuickstartOutcome, expected: { poisoned: number; }): boolean {
    return outcome.callsAnswered === outcome.callsSent
        && outcome.callsWrong === 0
        && outcome.itemsLost === 0
        && outcome.itemsDoubled === 0
        && outcome.failures.length === expected.poisoned
        && outcome.itemsCompleted === outcome.itemsAccepted - expected.poisoned;
}
