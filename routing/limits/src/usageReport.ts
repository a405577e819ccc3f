import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PrincipalUsage } from "./principalUsage.js";

/** The demand at one entry, as reported to the other entries. Teams and keys with little or no demand are omitted. */
export interface UsageReport {
    entryId: InstanceId;
    /** Shape [principals]. */
    usages: PrincipalUsage[];
}
