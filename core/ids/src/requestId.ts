import type { Brand } from "./brand.js";

export type RequestId = Brand<string, "RequestId">;
