import type { InstanceName } from "@knapweedwood/core.ids/instanceName";

/** Stored value of the leader key: the process that runs batch jobs. */
export interface LeaderRecord {
    instanceName: InstanceName;
    /** Start of the process, Unix ms. */
    startedAtMs: number;
    /** Lease to which the key is bound; undefined in records of earlier versions of this program. */
    leaseId?: string;
}
