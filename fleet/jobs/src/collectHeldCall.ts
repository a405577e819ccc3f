import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { HeldJob } from "./heldJob.js";

/**
 * Returns the jobs that a runner holds, one a frame, to a new leader. The runner promises to hold nothing more that an
 * earlier leader approves.
 */
export const collectHeldCall = defineCall<{ fencingNumber: number; }, { job: HeldJob; }>("jobs.collect-held");
