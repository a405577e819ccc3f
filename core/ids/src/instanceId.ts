import type { Brand } from "./brand.js";

export type InstanceId = Brand<string, "InstanceId">;
