import type { Random } from "@knapweedwood/core.random/random";

const BASE_36 = 36;
const WORD_RANGE = BASE_36 ** 4;
const WORD_CHARACTERS = 5;

/** Returns random words with a total length of about `characters`. */
export function randomText(random: Random, characters: number): string {
    const length = Math.ceil(characters / WORD_CHARACTERS);
    return Array.from({ length }, () => random.nextInteger(WORD_RANGE).toString(BASE_36).padStart(4, "0")).join(" ");
}
