import type { Brand } from "./brand.js";

/** A part of a prompt that many requests may share. */
export type PromptPartId = Brand<string, "PromptPartId">;
