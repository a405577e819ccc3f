import type { Brand } from "./brand.js";

export type ModelVersion = Brand<string, "ModelVersion">;
