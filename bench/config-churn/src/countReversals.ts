import type { JudgedLife } from "./judgedLife.js";

/** Counts how often a process went to a lower or equal revision. */
export function countReversals(lives: readonly JudgedLife[]): number {
    return lives
        .map(({ adoptions }) =>
            adoptions.filter((adoption, index) => adoption.revision <= (adoptions[index - 1]?.revision ?? 0))
        )
        .reduce((sum, reversed) => sum + reversed.length, 0);
}
