import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import type { Upstream } from "./upstream.js";

/** Returns the key of the process that an entry describes. */
export function upstreamProcessKeyOf({ id, startedAtMs }: Pick<Upstream, "id" | "startedAtMs">): UpstreamProcessKey {
    return `${id} ${startedAtMs}` as UpstreamProcessKey;
}
