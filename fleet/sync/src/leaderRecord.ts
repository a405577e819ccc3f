import type { InstanceName } from "@knapweedwood/core.ids/instanceName";

/** Who runs batch jobs. */
export interface LeaderRecord {
    instanceName: InstanceName;
    /** Start of the process, Unix ms. */
    startedAtMs: number;
}
