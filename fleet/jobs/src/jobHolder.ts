import type { HoldOutcome } from "./holdOutcome.js";
import type { HoldRequest } from "./holdRequest.js";

/** Holds jobs while the key-value service is unavailable. */
export interface JobHolder {
    /** Resolves with `held` once enough copies are synced to tolerate the configured number of lost instances. */
    hold(request: HoldRequest): Promise<HoldOutcome>;
}
