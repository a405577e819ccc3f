import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import { fleetKeys } from "./fleetKeys.js";
import type { MemberRecord } from "./memberRecord.js";

/** Time for which a process whose entry lapsed is still told of loads, in milliseconds. */
const EXPIRED_MEMBER_RETENTION_MS = 10_000;

interface Member {
    record: MemberRecord;
    /** When its entry lapsed; undefined while it is listed. */
    expiredAtMs: number | undefined;
}

/** The processes of the fleet. A lapsed entry is kept for a while: an outage of the service lapses those of the living. */
export class MemberTable {
    private readonly members = new Map<InstanceName, Member>();

    put(entry: KeyValueEntry): void {
        const record = decodeRecord<MemberRecord>(entry.value);
        this.members.set(record.instanceName, { record, expiredAtMs: undefined });
    }

    get(instanceName: InstanceName): MemberRecord | undefined {
        return this.members.get(instanceName)?.record;
    }

    markExpired(key: string, nowMs: number): void {
        const member = this.members.get(key.slice(fleetKeys.membersPrefix.length) as InstanceName);
        if (member !== undefined) {
            member.expiredAtMs ??= nowMs;
        }
    }

    /** Lapses all members whose keys are not among `entries`, and puts those that are. */
    replace(entries: readonly KeyValueEntry[], nowMs: number): void {
        const listed = new Set(entries.map(entry => entry.key));
        [...this.members.keys()]
            .map(name => fleetKeys.member(name))
            .filter(key => !listed.has(key))
            .forEach(key => this.markExpired(key, nowMs));
        entries.forEach(entry => this.put(entry));
    }

    /** Processes that listen, as far as this one knows, shape [members]. */
    list(nowMs: number): MemberRecord[] {
        [...this.members]
            .filter(([, member]) =>
                member.expiredAtMs !== undefined && nowMs > member.expiredAtMs + EXPIRED_MEMBER_RETENTION_MS
            )
            .forEach(([name]) => this.members.delete(name));
        return [...this.members.values()].map(member => member.record);
    }
}
