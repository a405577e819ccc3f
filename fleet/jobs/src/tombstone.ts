import type { TeamId } from "@knapweedwood/core.ids/teamId";

/**
 * The stored trace of a removed job. Copies of the job on disks and delayed writes may outlast its removal; no write that
 * finds the tombstone stores the job or its results again.
 */
export interface Tombstone {
    /** Time of the removal, Unix ms. */
    removedAtMs: number;
    /** The team of the removed job; absent if it had none. */
    team?: TeamId;
}
