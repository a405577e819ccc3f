import type { Brand } from "./brand.js";

/** Revision of the configuration; increases with each publish. */
export type Revision = Brand<number, "Revision">;
