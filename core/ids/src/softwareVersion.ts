import type { Brand } from "./brand.js";

/** Version of the software of an upstream, as the upstream announces it. Versions have no order. */
export type SoftwareVersion = Brand<string, "SoftwareVersion">;
