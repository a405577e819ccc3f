import type { Random } from "@knapweedwood/core.random/random";

/** Draws the time to the next event of a Poisson process, in the unit of `mean`. */
export function exponentialGap(random: Random, mean: number): number {
    return -Math.log(1 - random.next()) * mean;
}
