import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Random } from "./random.js";

const UNSIGNED_RANGE = 0x1_0000_0000;

/** A pseudorandom number generator that gives the same sequence for the same seed. */
export class SeededRandom implements Random {
    private readonly generator;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    next(): number {
        return (this.generator.next() >>> 0) / UNSIGNED_RANGE;
    }

    nextInteger(limit: number): number {
        return Math.floor(this.next() * limit);
    }
}
