import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { ChunkReference } from "./chunkReference.js";
import type { ChunkSource } from "./chunkSource.js";
import { configurationKeys } from "./configurationKeys.js";

const MAX_CONCURRENT_READS = 16;

/** Reads chunks from the key-value service. */
export class KeyValueChunkSource implements ChunkSource {
    private readonly keyValue: KeyValueService;

    constructor(opts: { keyValue: KeyValueService; }) {
        this.keyValue = opts.keyValue;
    }

    async fetch(references: ChunkReference[]): Promise<string[]> {
        const texts: string[] = [];
        for (let start = 0; start < references.length; start += MAX_CONCURRENT_READS) {
            const batch = references.slice(start, start + MAX_CONCURRENT_READS);
            texts.push(...await Promise.all(batch.map(reference => this.read(reference))));
        }
        return texts;
    }

    private async read(reference: ChunkReference): Promise<string> {
        const entry = await this.keyValue.get(configurationKeys.chunk(reference));
        if (entry === undefined) {
            throw new KnapweedError("CHUNK_NOT_FOUND", `Chunk ${reference} is not in the key-value service`);
        }
        return new TextDecoder().decode(entry.value);
    }
}
