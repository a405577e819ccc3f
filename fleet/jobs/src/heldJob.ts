import type { JobRecord } from "./jobRecord.js";

/** A job that was accepted while the key-value service was away, with the bodies of its items. */
export interface HeldJob {
    record: JobRecord;
    /** All bodies, one after the other. */
    bodies: Uint8Array;
    /** Most tokens that may wait on the job's route; undefined for no limit. */
    maxWaitingTokens: number | undefined;
}
