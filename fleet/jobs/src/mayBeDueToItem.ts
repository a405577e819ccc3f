import type { ItemRunOutcome } from "./itemRunOutcome.js";

/** Codes of answers that an upstream may give because of what the item asks for. */
const CODES: readonly string[] = ["ANSWER_WITHOUT_EVENTS", "ANSWER_TOO_LARGE"];

/**
 * Whether the upstream answered and the answer is no usable output, which may be due to the item as well as to the upstream.
 * What another upstream answers tells which.
 */
export function mayBeDueToItem(outcome: ItemRunOutcome): boolean {
    return outcome.kind === "garbled" && CODES.includes(outcome.code);
}
