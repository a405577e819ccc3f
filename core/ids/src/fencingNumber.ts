import type { Brand } from "./brand.js";

export type FencingNumber = Brand<number, "FencingNumber">;
