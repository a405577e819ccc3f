import type { Brand } from "./brand.js";

/** Key chosen by a caller; a repeated request with the same key has the effect of one. */
export type IdempotencyKey = Brand<string, "IdempotencyKey">;
