import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { SubsetPolicy } from "./subsetPolicy.js";

interface RendezvousSubsetOptions {
    entryId: InstanceId;
    subsetSize: number;
}

/**
 * Selects the upstreams that rank highest for this entry. It needs no list of entries, but its coverage is even only on
 * average.
 */
export class RendezvousSubset implements SubsetPolicy {
    private readonly opts: RendezvousSubsetOptions;

    constructor(opts: RendezvousSubsetOptions) {
        this.opts = opts;
    }

    subsetOf(instanceIds: readonly InstanceId[]): InstanceId[] {
        return rendezvousRank(this.opts.entryId, instanceIds).slice(0, this.opts.subsetSize);
    }
}
