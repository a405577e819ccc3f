import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** Limits the upstreams that one entry uses, and so the number of links and of copies of cached prefixes. */
export interface SubsetPolicy {
    /** @returns the upstreams of this entry; deterministic for the same arguments; shape [subset] */
    subsetOf(instanceIds: readonly InstanceId[]): InstanceId[];
}
