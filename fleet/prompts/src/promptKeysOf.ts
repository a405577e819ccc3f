import { textHash } from "@knapweedwood/core.hashing/textHash";
import type { PromptPart } from "@knapweedwood/fleet.view/promptPart";
import type { PromptKeys } from "./promptKeys.js";

const SECOND_SALT = 0x9e37_79b9;
const SEPARATOR = "\0";
const HIGH_FACTOR = 2 ** 21;
const LOW_SHIFT = 11;

/** Returns the keys of the parts of a prompt. They are numbers of 53 bits, so that they need little memory. */
export function promptKeysOf(parts: readonly PromptPart[]): PromptKeys {
    let high = textHash("");
    let low = SECOND_SALT;
    const keys = parts.map(({ id }) => {
        high = textHash(SEPARATOR, textHash(id, high));
        low = textHash(SEPARATOR, textHash(id, low));
        return high * HIGH_FACTOR + (low >>> LOW_SHIFT);
    });
    const tokens = parts.map(part => part.tokens);
    const totalTokens = tokens.reduce((sum, count) => sum + count, 0);
    return {
        keys,
        tokens,
        totalTokens,
        sharedTokens: totalTokens - (tokens.at(-1) ?? 0),
        sharedKey: keys.at(-2) ?? 0,
    };
}
