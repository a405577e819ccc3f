const CHARACTERS_PER_TOKEN = 4;

/** How many tokens the stand-in engine counts in a text. */
export function countTokens(text: string): number {
    return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
