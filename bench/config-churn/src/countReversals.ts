import type { RunHistory } from "./runHistory.js";

/** Counts how often a process went to a lower or equal revision. */
export function countReversals(histories: readonly RunHistory[]): number {
    return histories
        .map(({ adoptions }) =>
            adoptions.filter((adoption, index) => adoption.revision <= (adoptions[index - 1]?.revision ?? 0))
        )
        .reduce((sum, reversed) => sum + reversed.length, 0);
}
