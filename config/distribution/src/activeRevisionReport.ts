import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { Revision } from "@knapweedwood/core.ids/revision";

/** On how many processes a revision, or a higher one, is in force. */
export interface ActiveRevisionReport {
    revision: Revision;
    reached: number;
    total: number;
    missing: InstanceId[];
}
