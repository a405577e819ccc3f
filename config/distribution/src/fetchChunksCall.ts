import type { ChunkReference } from "@knapweedwood/config.publishing/chunkReference";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Asks for chunks; frames with their texts, in the order asked for. */
export const fetchChunksCall = defineCall<{ references: ChunkReference[]; }, { texts: string[]; }>(
    "configuration.fetch-chunks",
);
