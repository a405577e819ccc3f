import type { Brand } from "@knapweedwood/core.ids/brand";

/** Identifies one attempt at a batch item. */
export type BatchKey = Brand<string, "BatchKey">;
