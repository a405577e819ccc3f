import type { Brand } from "./brand.js";

/** Id that the caller assigned to an item of a batch job. */
export type ItemId = Brand<string, "ItemId">;
