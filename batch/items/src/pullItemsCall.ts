import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { BatchItem } from "./batchItem.js";
import type { PullItemsRequest } from "./pullItemsRequest.js";

/** A gate asks the owner of a partition for items; one frame. */
export const pullItemsCall = defineCall<PullItemsRequest, { items: BatchItem[]; }>("batch.pull-items");
