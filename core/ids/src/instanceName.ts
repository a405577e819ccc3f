import type { Brand } from "./brand.js";

/** Name of an instance that runs a process of the fleet; stays the same across restarts. */
export type InstanceName = Brand<string, "InstanceName">;
