import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { HoldOutcome } from "./holdOutcome.js";
import type { HoldRequest } from "./holdRequest.js";

/** Holds a job on a runner's disk until it can be written to the key-value service. Responds once it is synced. */
export const holdJobCall = defineCall<HoldRequest, { outcome: HoldOutcome; }>("jobs.hold");
