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
    /** Upstreams of each zone group (this zone, the others) that this entry sends to, without another policy. */
    subsetSize?: number | undefined;
    subset?: SubsetPolicy | undefined;
    /** An upstream gets a request for its prefix while its load is at most this many times the mean. */
    affinityLoadFactor?: number | undefined;
    /** Requests may leave the zone while its mean load is more than this many times that of the others. */
    zoneLoadFactor?: number | undefined;
    slowStartMs?: number | undefined;
    ejection?: Partial<EjectionLimits> | undefined;
    /** Blocks of prompts remembered for each upstream. */
    maxIndexedBlocks?: number | undefined;
}
