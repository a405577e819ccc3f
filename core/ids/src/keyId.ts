import type { Brand } from "./brand.js";

export type KeyId = Brand<string, "KeyId">;
