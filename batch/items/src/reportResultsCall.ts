import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { BatchResult } from "./batchResult.js";

/** A gate reports results to the owner of their partition; one frame once they are taken. */
export const reportResultsCall = defineCall<{ results: BatchResult[]; }, { taken: number; }>("batch.report-results");
