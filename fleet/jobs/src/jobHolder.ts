import type { HeldJob } from "./heldJob.js";
import type { HoldOutcome } from "./holdOutcome.js";

/** Keeps jobs while the key-value service is away. */
export interface JobHolder {
    /** Resolves with `held` once enough copies are synced to bear the losses that are allowed for. */
    hold(job: HeldJob): Promise<HoldOutcome>;
}
