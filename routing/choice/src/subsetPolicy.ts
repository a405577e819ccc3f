import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** Limits the upstreams that one entry uses, so that links and copies of cached prefixes don't multiply. */
export interface SubsetPolicy {
    /** @returns the upstreams of this entry; deterministic for the same arguments; shape [subset] */
    subsetOf(instanceIds: readonly InstanceId[]): InstanceId[];
}
