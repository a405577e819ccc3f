import { textHash } from "@knapweedwood/core.hashing/textHash";

const BLOCK_CHARACTERS = 64;
const MAX_BLOCKS = 32_768;

/** Approximate index of the prompt prefixes in an engine's cache, built from the prompts sent to it. */
export class EnginePrefixIndex {
    private readonly blocks = new Set<number>();

    /** Returns the number of leading characters of a prompt that are expected in the engine's cache. */
    matchCharacters(prompt: string): number {
        const hashes = blockHashesOf(prompt);
        const miss = hashes.findIndex(hash => !this.blocks.has(hash));
        return (miss === -1 ? hashes.length : miss) * BLOCK_CHARACTERS;
    }

    /** Records that a prompt was processed. */
    add(prompt: string): void {
        blockHashesOf(prompt).forEach(hash => {
            this.blocks.delete(hash);
            this.blocks.add(hash);
        });
        const excess = Math.max(0, this.blocks.size - MAX_BLOCKS);
        if (excess > 0) {
            [...this.blocks].slice(0, excess).forEach(hash => this.blocks.delete(hash));
        }
    }
}

function blockHashesOf(prompt: string): number[] {
    let hash: number | undefined;
    return Array.from({ length: Math.floor(prompt.length / BLOCK_CHARACTERS) }, (_, index) => {
        hash = textHash(prompt.slice(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS), hash);
        return hash;
    });
}
