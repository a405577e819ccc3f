import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** Limits the upstreams that one entry sends to, so that links and cached prefixes don't multiply. */
export interface SubsetPolicy {
    /** @returns the upstreams of this entry, always the same for the same arguments; shape [subset] */
    subsetOf(instanceIds: readonly InstanceId[]): InstanceId[];
}
