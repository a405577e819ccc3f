import type { InstanceName } from "@knapweedwood/core.ids/instanceName";

/** Stored value of the leader key: the process that runs batch jobs. */
export interface LeaderRecord {
    instanceName: InstanceName;
    /** Start of the process, Unix ms. */
    startedAtMs: number;
}
