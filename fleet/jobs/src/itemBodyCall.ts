import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { JobCaller } from "./jobCaller.js";

interface ItemBodyRequest {
    jobId: JobId;
    itemId: ItemId;
    /** Who reads; absent while the configuration has no teams. */
    caller?: JobCaller;
}

/**
 * Reads the body of an item from the runner. The response has no body if the team of the caller certainly has no such
 * item.
 */
export const itemBodyCall = defineCall<ItemBodyRequest, { body?: Uint8Array; }>("jobs.item-body");
