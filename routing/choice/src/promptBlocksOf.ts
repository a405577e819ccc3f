import { textHash } from "@knapweedwood/core.hashing/textHash";

/** Characters of a block of a prompt: about the 16 tokens of an engine's block. */
const BLOCK_CHARACTERS = 64;
const MAX_BLOCKS = 64;

/**
 * Hashes of a prompt's leading blocks, each of the text up to the end of its block, so that two prompts share as many
 * leading hashes as they share whole blocks. Engines that publish the same hashes in their cache events correct the
 * {@link PrefixIndex}; for others it knows this entry's choices alone.
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
