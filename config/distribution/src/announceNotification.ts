import type { Revision } from "@knapweedwood/core.ids/revision";
import { defineNotification } from "@knapweedwood/links.calls/defineNotification";

/** The active revision of the sender. Sent in response to a heartbeat. */
export const announceNotification = defineNotification<{
    revision: Revision;
    digest: string;
}>("configuration.announce");
