import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { BatchItem } from "./batchItem.js";
import type { PullItemsRequest } from "./pullItemsRequest.js";

/** Requests items for a gate from the owner of a partition. Yields one frame. */
export const pullItemsCall = defineCall<PullItemsRequest, { items: BatchItem[]; }>("batch.pull-items");
