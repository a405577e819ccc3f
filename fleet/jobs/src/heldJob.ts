import type { JobRecord } from "./jobRecord.js";

/** A job accepted while the key-value service was unavailable, with the bodies of its items. */
export interface HeldJob {
    record: JobRecord;
    /** All bodies, concatenated. */
    bodies: Uint8Array;
    /** Maximum of waiting tokens on the job's route; undefined for no limit. */
    maxWaitingTokens: number | undefined;
}
