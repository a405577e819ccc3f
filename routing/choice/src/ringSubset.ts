import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { SubsetPolicy } from "./subsetPolicy.js";

interface RingSubsetOptions {
    entryId: InstanceId;
    subsetSize: number;
    /** Returns all entries that share the upstreams, including this one. */
    entries: () => readonly InstanceId[];
}

const ENTRY_ORDER = "entries";
const UPSTREAM_ORDER = "upstreams";

/**
 * Orders the upstreams on a ring and gives each entry the next consecutive segment of it. The numbers of entries that
 * use any two upstreams therefore differ by at most one.
 */
export class RingSubset implements SubsetPolicy {
    private readonly opts: RingSubsetOptions;

    constructor(opts: RingSubsetOptions) {
        this.opts = opts;
    }

    subsetOf(instanceIds: readonly InstanceId[]): InstanceId[] {
        const ring = rendezvousRank(UPSTREAM_ORDER, instanceIds);
        const size = Math.min(this.opts.subsetSize, ring.length);
        const entries = rendezvousRank(ENTRY_ORDER, this.opts.entries());
        const rank = Math.max(0, entries.indexOf(this.opts.entryId));
        const start = rank * size;
        return Array.from({ length: size }, (_, offset) => ring[(start + offset) % ring.length]);
    }
}
