import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { Revision } from "@knapweedwood/core.ids/revision";

/** The active revision of one process; 0 before its first. */
export interface MemberRevision {
    instanceId: InstanceId;
    revision: Revision;
}
