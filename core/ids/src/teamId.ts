import type { Brand } from "./brand.js";

export type TeamId = Brand<string, "TeamId">;
