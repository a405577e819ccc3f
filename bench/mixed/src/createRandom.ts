import type { Random } from "@knapweedwood/core.random/random";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";

/** The first numbers after a small seed are close to 0 or 1, so that they are discarded. */
const DISCARDED_NUMBERS = 32;

/** Creates a seeded random number generator whose first numbers are usable, also for a small seed. */
export function createRandom(seed: number): Random {
    const random = new SeededRandom(seed);
    Array.from({ length: DISCARDED_NUMBERS }).forEach(() => random.next());
    return random;
}
