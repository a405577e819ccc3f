import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

/** Where a process stands in the distribution of configurations. */
export interface DistributionPosition {
    /** Whether this process watches the key-value service for its zone. */
    isWatcher: boolean;
    /** Processes to get revisions from, the preferred one first. */
    parents: InstanceRecord[];
    /** Watchers to compare revisions with, where this process is one. */
    siblings: InstanceRecord[];
}
