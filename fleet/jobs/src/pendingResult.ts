import type { ItemResult } from "./itemResult.js";
import type { OpenJob } from "./openJob.js";

/** A result that is not stored yet. */
export interface PendingResult {
    job: OpenJob;
    result: ItemResult;
    /** Whether it is written by itself, as the key-value service has rejected a write that contained it. */
    isAlone?: boolean;
}
