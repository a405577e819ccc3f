import type { Brand } from "./brand.js";

export type ItemIndex = Brand<number, "ItemIndex">;
