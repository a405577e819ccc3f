import type { Upstream } from "./upstream.js";

/** A change of what is known of an upstream. */
export interface UpstreamChange {
    kind: "joined" | "changed" | "left";
    upstream: Upstream;
}
