import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { HoldRequest } from "./holdRequest.js";
import type { HoldResponse } from "./holdResponse.js";

/** Holds a job on a runner's disk until it can be written to the key-value service. Responds once it is synced. */
export const holdJobCall = defineCall<HoldRequest, HoldResponse>("jobs.hold");
