const CHARACTERS_PER_TOKEN = 4;

/** Returns the number of tokens of a text, as the stand-in engine counts them. */
export function countTokens(text: string): number {
    return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
