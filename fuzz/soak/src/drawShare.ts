import type { Random } from "@knapweedwood/core.random/random";

/** Number of first random numbers that are similar for small seeds. */
const SIMILAR_NUMBERS = 8;

/** Draws with the probability `share` whether a soak has a property. Needs a generator of its own for each property. */
export function drawShare(random: Random, share: number): boolean {
    Array.from({ length: SIMILAR_NUMBERS }, () => random.next());
    return random.next() < share;
}
