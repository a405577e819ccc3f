import type { ItemResult } from "./itemResult.js";
import type { OpenJob } from "./openJob.js";

/** A result that is not stored yet. */
export interface PendingResult {
    job: OpenJob;
    result: ItemResult;
}
