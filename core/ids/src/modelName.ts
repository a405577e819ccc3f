import type { Brand } from "./brand.js";

export type ModelName = Brand<string, "ModelName">;
