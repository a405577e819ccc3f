import type { Brand } from "./brand.js";

export type RegionName = Brand<string, "RegionName">;
