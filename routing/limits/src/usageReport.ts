import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PrincipalUsage } from "./principalUsage.js";

/** What an entry tells the others of demand. Teams and keys left out have next to none there. */
export interface UsageReport {
    entryId: InstanceId;
    /** Shape [principals]. */
    usages: PrincipalUsage[];
}
