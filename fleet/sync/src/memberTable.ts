import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import { fleetKeys } from "./fleetKeys.js";
import type { MemberRecord } from "./memberRecord.js";

/** Time for which a process with an expired entry still receives load reports, in milliseconds. */
const EXPIRED_MEMBER_RETENTION_MS = 10_000;

interface Member {
    record: MemberRecord;
    /** Time at which the entry expired; undefined while it is listed. */
    expiredAtMs: number | undefined;
}

/**
 * The processes of the fleet. Expired entries are kept for a while because an outage of the key-value service also
 * expires the entries of running processes.
 */
export class MemberTable {
    private readonly members = new Map<InstanceName, Member>();

    /** Adds or updates a member. */
    put(entry: KeyValueEntry): void {
        const record = decodeRecord<MemberRecord>(entry.value);
        this.members.set(record.instanceName, { record, expiredAtMs: undefined });
    }

    get(instanceName: InstanceName): MemberRecord | undefined {
        return this.members.get(instanceName)?.record;
    }

    /** Marks the member with this key as expired. */
    markExpired(key: string, nowMs: number): void {
        const member = this.members.get(key.slice(fleetKeys.membersPrefix.length) as InstanceName);
        if (member !== undefined) {
            member.expiredAtMs ??= nowMs;
        }
    }

    /** Stores the members in `entries` and marks all others as expired. */
    replace(entries: readonly KeyValueEntry[], nowMs: number): void {
        const listed = new Set(entries.map(entry => entry.key));
        [...this.members.keys()]
            .map(name => fleetKeys.member(name))
            .filter(key => !listed.has(key))
            .forEach(key => this.markExpired(key, nowMs));
        entries.forEach(entry => this.put(entry));
    }

    /** Returns listed members and recently expired ones, shape [members]. Removes the others from the table. */
    list(nowMs: number): MemberRecord[] {
        [...this.members]
            .filter(([, member]) =>
                member.expiredAtMs !== undefined && nowMs > member.expiredAtMs + EXPIRED_MEMBER_RETENTION_MS
            )
            .forEach(([name]) => this.members.delete(name));
        return [...this.members.values()].map(member => member.record);
    }
}
