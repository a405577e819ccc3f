import type { Revision } from "@knapweedwood/core.ids/revision";
import { defineNotification } from "@knapweedwood/links.calls/defineNotification";
import type { MemberRevision } from "./memberRevision.js";

/** Heartbeat to a parent or sibling. Reports the active revision of the sender and of the processes below it. */
export const heartbeatNotification = defineNotification<{
    revision: Revision;
    digest: string;
    /** The sender first, then all processes below it. Empty if the receiver is a sibling. */
    members: MemberRevision[];
}>("configuration.beat");
