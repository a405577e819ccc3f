import type { Upstream } from "./upstream.js";

/** A change of an upstream's entry in the directory. */
export interface UpstreamChange {
    kind: "joined" | "changed" | "left";
    upstream: Upstream;
}
