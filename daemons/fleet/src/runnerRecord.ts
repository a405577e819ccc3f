import type { MemberRecord } from "@knapweedwood/fleet.sync/memberRecord";

/** Stored record of a runner whose disk may contain held jobs. */
export interface RunnerRecord {
    member: MemberRecord;
    /** Revision of the key-value service at which the record was written. */
    modRevision: number;
}
