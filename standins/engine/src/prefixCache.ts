import { textHash } from "@knapweedwood/core.hashing/textHash";

/** Tokens in one block of the prefix cache. */
const BLOCK_TOKENS = 16;
/** Characters that the stand-in engine counts as one token. */
const CHARACTERS_PER_TOKEN = 4;
const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;

/** Prefix cache of an engine. Evicts the least recently used blocks first. */
export class PrefixCache {
    private readonly limitBlocks: number;
    private readonly onChange: (kind: "stored" | "evicted", blockHashes: string[]) => void;
    private readonly blocks = new Set<number>();

    /** @param opts.onChange called with the hashes of blocks that were stored or evicted, shape [blocks] */
    constructor(opts: {
        limitTokens: number;
        onChange: (kind: "stored" | "evicted", blockHashes: string[]) => void;
    }) {
        this.limitBlocks = Math.floor(opts.limitTokens / BLOCK_TOKENS);
        this.onChange = opts.onChange;
    }

    /** Returns the number of leading tokens of a text that are cached, and marks their blocks as used. */
    matchTokens(text: string): number {
        const hashes = blockHashesOf(text);
        const miss = hashes.findIndex(hash => !this.blocks.has(hash));
        const matched = miss === -1 ? hashes.length : miss;
        hashes.slice(0, matched).forEach(hash => this.touch(hash));
        return matched * BLOCK_TOKENS;
    }

    /** Stores the complete blocks of a text, at most as many as fit into the cache. */
    store(text: string): void {
        const hashes = blockHashesOf(text).slice(0, this.limitBlocks);
        const added = hashes.filter(hash => !this.blocks.has(hash));
        hashes.forEach(hash => this.touch(hash));
        const excess = this.leastRecentlyUsed(this.blocks.size - this.limitBlocks);
        excess.forEach(hash => this.blocks.delete(hash));
        this.notify("stored", added);
        this.notify("evicted", excess);
    }

    private leastRecentlyUsed(count: number): number[] {
        return count > 0 ? [...this.blocks].slice(0, count) : [];
    }

    private touch(hash: number): void {
        this.blocks.delete(hash);
        this.blocks.add(hash);
    }

    private notify(kind: "stored" | "evicted", hashes: number[]): void {
        if (hashes.length > 0) {
            this.onChange(kind, hashes.map(String));
        }
    }
}

function blockHashesOf(text: string): number[] {
    const length = Math.floor(text.length / BLOCK_CHARACTERS);
    let hash: number | undefined;
    return Array.from({ length }, (_, index) => {
        hash = textHash(text.slice(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS), hash);
        return hash;
    });
}
