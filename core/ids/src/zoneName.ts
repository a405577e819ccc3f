import type { Brand } from "./brand.js";

/** Name of an availability zone. */
export type ZoneName = Brand<string, "ZoneName">;
