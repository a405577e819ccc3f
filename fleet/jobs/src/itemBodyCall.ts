import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Reads the body of an item from the runner. The response has no body if the item certainly does not exist. */
export const itemBodyCall = defineCall<{ jobId: JobId; itemId: ItemId; }, { body?: Uint8Array; }>("jobs.item-body");
