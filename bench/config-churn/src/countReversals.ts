import type { RunHistory } from "./runHistory.js";

/** Counts adoptions of a revision that was lower than or equal to the previous one of the same process run. */
export function countReversals(histories: readonly RunHistory[]): number {
    return histories
        .map(({ adoptions }) =>
            adoptions.filter((adoption, index) => adoption.revision <= (adoptions[index - 1]?.revision ?? 0))
        )
        .reduce((sum, reversed) => sum + reversed.length, 0);
}
