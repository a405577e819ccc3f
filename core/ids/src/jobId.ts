import type { Brand } from "./brand.js";

export type JobId = Brand<string, "JobId">;
