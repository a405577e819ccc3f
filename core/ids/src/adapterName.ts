import type { Brand } from "./brand.js";

export type AdapterName = Brand<string, "AdapterName">;
