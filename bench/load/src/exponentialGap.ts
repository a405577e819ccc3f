import type { Random } from "@knapweedwood/core.random/random";

/** Draws the time to the next of events that come independently of each other, in the unit of the mean. */
export function exponentialGap(random: Random, mean: number): number {
    return -Math.log(1 - random.next()) * mean;
}
