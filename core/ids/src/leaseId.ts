import type { Brand } from "./brand.js";

export type LeaseId = Brand<string, "LeaseId">;
