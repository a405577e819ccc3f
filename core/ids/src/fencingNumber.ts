import type { Brand } from "./brand.js";

/** Number that increases with each change of owner or leader; the writes and orders of earlier ones are rejected. */
export type FencingNumber = Brand<number, "FencingNumber">;
