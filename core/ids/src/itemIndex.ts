import type { Brand } from "./brand.js";

/** Position of an item in its job. */
export type ItemIndex = Brand<number, "ItemIndex">;
