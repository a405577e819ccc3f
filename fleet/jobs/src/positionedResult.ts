import type { PendingResult } from "./pendingResult.js";

/** A result with its position among the results of its job. */
export interface PositionedResult extends PendingResult {
    position: number;
}
