import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { Revision } from "@knapweedwood/core.ids/revision";

/** The number of processes on which a revision, or a higher one, is active. */
export interface ActiveRevisionReport {
    revision: Revision;
    /** Processes on which it is active. */
    reached: number;
    /** All processes of the region. */
    total: number;
    /** Processes that have not reported it, shape [total - reached]. */
    missing: InstanceId[];
}
