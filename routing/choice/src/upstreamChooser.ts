import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ChooseRequest } from "./chooseRequest.js";
import type { PrefixCacheChange } from "./prefixCacheChange.js";
import type { UpstreamObservation } from "./upstreamObservation.js";

/** Chooses the upstream of each request. */
export interface UpstreamChooser {
    /**
     * Chooses an upstream and counts the request as in flight there until its result is observed.
     *
     * @returns the chosen upstream; undefined if no candidate is eligible
     */
    choose(request: ChooseRequest): InstanceId | undefined;
    /** Records the result of a request at a chosen upstream. */
    observe(observation: UpstreamObservation): void;
    /** Applies an event of an engine's prefix cache. Events may arrive late and with gaps. */
    onCacheChange?(change: PrefixCacheChange): void;
}
