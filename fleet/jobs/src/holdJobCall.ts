import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { HeldJob } from "./heldJob.js";
import type { HoldOutcome } from "./holdOutcome.js";

/** Keeps a job on a runner's disk until it can be written to the key-value service; answers once it is synced. */
export const holdJobCall = defineCall<HeldJob, { outcome: HoldOutcome; }>("jobs.hold");
