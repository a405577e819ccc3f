import type { ChunkReference } from "@knapweedwood/config.publishing/chunkReference";
import type { ChunkSource } from "@knapweedwood/config.publishing/chunkSource";
import { collectFrames } from "@knapweedwood/links.calls/collectFrames";
import type { Link } from "@knapweedwood/links.calls/link";
import { fetchChunksCall } from "./fetchChunksCall.js";

const REFERENCES_PER_CALL = 128;

/** Fetches chunks from a peer, except those that a delta has already delivered. */
export class LinkChunkSource implements ChunkSource {
    private readonly link: Link;
    private readonly timeoutMs: number;
    private readonly delivered: Map<ChunkReference, string>;

    constructor(opts: { link: Link; timeoutMs: number; delivered: { reference: ChunkReference; text: string; }[]; }) {
        this.link = opts.link;
        this.timeoutMs = opts.timeoutMs;
        this.delivered = new Map(opts.delivered.map(chunk => [chunk.reference, chunk.text]));
    }

    async fetch(references: ChunkReference[]): Promise<string[]> {
        const missing = references.filter(reference => !this.delivered.has(reference));
        for (let start = 0; start < missing.length; start += REFERENCES_PER_CALL) {
            const batch = missing.slice(start, start + REFERENCES_PER_CALL);
            const frames = await collectFrames(
                this.link.call(fetchChunksCall, { references: batch }, { timeoutMs: this.timeoutMs }),
            );
            const texts = frames.flatMap(frame => frame.texts);
            batch.forEach((reference, index) => this.delivered.set(reference, texts[index] ?? ""));
        }
        return references.map(reference => this.delivered.get(reference) ?? "");
    }
}
