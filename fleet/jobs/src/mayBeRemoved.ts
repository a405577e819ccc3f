import type { JobRecord } from "./jobRecord.js";

/**
 * Returns whether a held job may have been stored, run and removed while its copy was out of reach. Such a job is opened
 * only once it is stored, because that write compares its tombstone.
 */
export function mayBeRemoved(
    { acceptedAtMs }: JobRecord,
    opts: { nowMs: number; resultRetentionMs: number; },
): boolean {
    return opts.nowMs >= acceptedAtMs + opts.resultRetentionMs;
}
