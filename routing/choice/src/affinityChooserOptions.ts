import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Random } from "@knapweedwood/core.random/random";
import type { EjectionLimits } from "./ejectionLimits.js";
import type { SubsetPolicy } from "./subsetPolicy.js";

/** Options of an {@link AffinityChooser}. */
export interface AffinityChooserOptions {
    entryId: InstanceId;
    zone: ZoneName;
    random: Random;
    /** Number of upstreams of each zone group (this zone, all others) used by this entry, if `subset` is not set. */
    subsetSize?: number | undefined;
    /** Selects the upstreams used by this entry; a {@link RendezvousSubset} by default. */
    subset?: SubsetPolicy | undefined;
    /** Maximum ratio of an upstream's load to the mean load at which the upstream is still chosen. */
    affinityLoadFactor?: number | undefined;
    /** Requests may leave the zone while its mean load is more than this many times that of the other zones. */
    zoneLoadFactor?: number | undefined;
    /** Time in which the weight of an upstream that joins or returns grows to its full value, in milliseconds. */
    slowStartMs?: number | undefined;
    ejection?: Partial<EjectionLimits> | undefined;
    /** Maximum number of prompt blocks indexed for each upstream. */
    maxIndexedBlocks?: number | undefined;
}
