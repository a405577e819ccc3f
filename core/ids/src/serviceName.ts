import type { Brand } from "./brand.js";

export type ServiceName = Brand<string, "ServiceName">;
