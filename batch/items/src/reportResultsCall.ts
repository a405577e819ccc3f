import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { BatchResult } from "./batchResult.js";

/** Reports results of a gate to the owner of their partition. Yields one frame once they are accepted. */
export const reportResultsCall = defineCall<{ results: BatchResult[]; }, { taken: number; }>("batch.report-results");
