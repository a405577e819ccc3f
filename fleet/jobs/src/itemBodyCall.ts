import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Reads the body of an item at the runner; without one where there certainly is none. */
export const itemBodyCall = defineCall<{ jobId: JobId; itemId: ItemId; }, { body?: Uint8Array; }>("jobs.item-body");
