import type { Brand } from "./brand.js";

/** Identifies a process of an upstream. A later process may have the same id and address. */
export type UpstreamProcessKey = Brand<string, "UpstreamProcessKey">;
