import type { Revision } from "@knapweedwood/core.ids/revision";
import { defineNotification } from "@knapweedwood/links.calls/defineNotification";
import type { MemberRevision } from "./memberRevision.js";

/** A process tells its parent, or a sibling, what it and the processes below it have in force. */
export const heartbeatNotification = defineNotification<{
    revision: Revision;
    digest: string;
    /** The sender first, then all below it; empty towards a sibling. */
    members: MemberRevision[];
}>("configuration.beat");
