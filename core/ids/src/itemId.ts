import type { Brand } from "./brand.js";

/** Id that a caller gave to an item of a batch job. */
export type ItemId = Brand<string, "ItemId">;
