import type { HeldJob } from "./heldJob.js";

/** Keeps jobs while the key-value service is away. */
export interface JobHolder {
    /**
     * Resolves with `held` once enough copies are synced to bear the losses that are allowed for, with `not-held` where
     * no copy can exist, and with `unknown` otherwise.
     */
    hold(job: HeldJob): Promise<"held" | "not-held" | "unknown">;
}
