import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { RunCounts } from "./runCounts.js";

/** Asks how often handlers were started. */
export const runCountsCall = defineCall<Record<string, never>, RunCounts>("bench.runCounts");
