import type { Brand } from "./brand.js";

export type UpstreamId = Brand<string, "UpstreamId">;
