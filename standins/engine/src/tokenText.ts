import { textHash } from "@knapweedwood/core.hashing/textHash";

const BASE_36 = 36;
const WORD_RANGE = BASE_36 ** 4;
const WORD_LENGTH = 4;

/** Text of token `index` of the answer to a prompt of this hash. Depends on nothing else. */
export function tokenText(promptHash: number, index: number): string {
    const word = textHash(String(index), promptHash) % WORD_RANGE;
    return ` ${word.toString(BASE_36).padStart(WORD_LENGTH, "0")}`;
}
