import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { RunCounts } from "./runCounts.js";

/** Requests the numbers of calls whose handlers were started in the server process. */
export const runCountsCall = defineCall<Record<string, never>, RunCounts>("bench.runCounts");
