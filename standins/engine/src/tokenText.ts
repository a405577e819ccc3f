import { textHash } from "@knapweedwood/core.hashing/textHash";

const BASE_36 = 36;
const WORD_RANGE = BASE_36 ** 4;
const WORD_LENGTH = 4;

/** Returns the text of generated token `index`. It depends only on the index and the hash of the prompt. */
export function tokenText(promptHash: number, index: number): string {
    const word = textHash(String(index), promptHash) % WORD_RANGE;
    return ` ${word.toString(BASE_36).padStart(WORD_LENGTH, "0")}`;
}
