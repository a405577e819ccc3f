import type { Brand } from "./brand.js";

export type ZoneName = Brand<string, "ZoneName">;
