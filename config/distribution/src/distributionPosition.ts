import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

/** Position of a process in the distribution tree of configurations. */
export interface DistributionPosition {
    /** Whether this process watches the key-value service for its zone. */
    isWatcher: boolean;
    /** Processes that can supply revisions, in order of preference. */
    parents: InstanceRecord[];
    /** Other watchers to compare revisions with. Empty if this process is not a watcher. */
    siblings: InstanceRecord[];
}
