import type { ChunkReference } from "@knapweedwood/config.publishing/chunkReference";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Requests chunks. The response frames hold their texts, in the order of `references`. */
export const fetchChunksCall = defineCall<{ references: ChunkReference[]; }, { texts: string[]; }>(
    "configuration.fetch-chunks",
);
