import type { Brand } from "./brand.js";

export type Revision = Brand<number, "Revision">;
