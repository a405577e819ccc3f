import type { Revision } from "@knapweedwood/core.ids/revision";
import { defineNotification } from "@knapweedwood/links.calls/defineNotification";

/** The revision in force at the sender; answers a beat. */
export const announceNotification = defineNotification<{
    revision: Revision;
    digest: string;
}>("configuration.announce");
