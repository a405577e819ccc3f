import type { Random } from "@knapweedwood/core.random/random";

/** Number of first random numbers that are similar for small seeds. */
const SIMILAR_NUMBERS = 8;

/** Draws whether a caller of a soak sends the crashing request, with the probability `share`. */
export function drawsCrashingRequest(random: Random, share: number): boolean {
    Array.from({ length: SIMILAR_NUMBERS }, () => random.next());
    return random.next() < share;
}
