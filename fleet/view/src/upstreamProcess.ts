import type { Upstream } from "./upstream.js";

/** One process of an upstream. */
export type UpstreamProcess = Pick<Upstream, "id" | "startedAtMs">;
