import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ChooseRequest } from "./chooseRequest.js";
import type { PrefixCacheChange } from "./prefixCacheChange.js";
import type { UpstreamObservation } from "./upstreamObservation.js";

/** Chooses the upstream of each request. */
export interface UpstreamChooser {
    /**
     * Chooses an upstream and counts the request as in flight there until it is observed.
     *
     * @returns undefined where no candidate may take the request
     */
    choose(request: ChooseRequest): InstanceId | undefined;
    /** Takes in how a chosen upstream did. */
    observe(observation: UpstreamObservation): void;
    /** Takes in an event of an engine's prefix cache, which may come late and with gaps. */
    onCacheChange?(change: PrefixCacheChange): void;
}
