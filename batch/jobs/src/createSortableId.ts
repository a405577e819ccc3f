import type { Random } from "@knapweedwood/core.random/random";

const MAX_TIME_MS = 2 ** 47;
const TIME_DIGITS = 10;
const RANDOM_DIGITS = 12;
const RADIX = 36;

/** Returns a unique id that sorts before the ids created earlier. */
export function createSortableId(opts: { prefix: string; nowMs: number; random: Random; }): string {
    const time = Math.floor(MAX_TIME_MS - opts.nowMs).toString(RADIX).padStart(TIME_DIGITS, "0");
    const unique = Array.from({ length: RANDOM_DIGITS }, () => opts.random.nextInteger(RADIX).toString(RADIX)).join("");
    return `${opts.prefix}${time}${unique}`;
}
