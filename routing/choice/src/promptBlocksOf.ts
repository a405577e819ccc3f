import { textHash } from "@knapweedwood/core.hashing/textHash";

/** Characters in a block of a prompt: about 16 tokens, the size of an engine's block. */
const BLOCK_CHARACTERS = 64;
const MAX_BLOCKS = 64;

/**
 * Returns hashes of a prompt's leading blocks. Each hash covers all text up to the end of its block, so two prompts
 * share as many leading hashes as whole blocks. Engines that publish the same hashes in their cache events correct the
 * {@link PrefixIndex}. For other engines the index contains only this entry's own choices.
 *
 * @returns shape [blocks], at most 64
 */
export function promptBlocksOf(prompt: string): string[] {
    const count = Math.min(MAX_BLOCKS, Math.floor(prompt.length / BLOCK_CHARACTERS));
    let hash: number | undefined;
    return Array.from({ length: count }, (_, index) => {
        hash = textHash(prompt.slice(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS), hash);
        return String(hash);
    });
}
