import type { Brand } from "./brand.js";

export type CallerId = Brand<string, "CallerId">;
