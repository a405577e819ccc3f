import type { Brand } from "@knapweedwood/core.ids/brand";

/**
 * Names a chunk by digest and the revision that wrote it (`DIGEST@REVISION`), so that each reference is written
 * once and replaced at most once. The empty string stands for a chunk without records.
 */
export type ChunkReference = Brand<string, "ChunkReference">;
