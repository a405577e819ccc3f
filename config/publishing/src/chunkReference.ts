import type { Brand } from "@knapweedwood/core.ids/brand";

/**
 * Identifies a chunk by its digest and the revision that wrote it, as `DIGEST@REVISION`. The revision makes sure that
 * each reference is written once and replaced at most once. The empty string stands for a chunk without records.
 */
export type ChunkReference = Brand<string, "ChunkReference">;
