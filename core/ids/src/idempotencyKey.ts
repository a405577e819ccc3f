import type { Brand } from "./brand.js";

export type IdempotencyKey = Brand<string, "IdempotencyKey">;
