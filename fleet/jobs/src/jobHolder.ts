import type { HoldOutcome } from "./holdOutcome.js";
import type { HoldRequest } from "./holdRequest.js";

/** Keeps jobs while the key-value service is away. */
export interface JobHolder {
    /** Resolves with `held` once enough copies are synced to bear the losses that are allowed for. */
    hold(request: HoldRequest): Promise<HoldOutcome>;
}
