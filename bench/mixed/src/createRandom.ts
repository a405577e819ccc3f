import type { Random } from "@knapweedwood/core.random/random";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";

/** The first numbers after a small seed are close to 0 or 1. */
const DISCARDED_NUMBERS = 32;

/** Random numbers for a seed, of even quality from the first on. */
export function createRandom(seed: number): Random {
    const random = new SeededRandom(seed);
    Array.from({ length: DISCARDED_NUMBERS }).forEach(() => random.next());
    return random;
}
