import type { MemberRecord } from "@knapweedwood/fleet.sync/memberRecord";

/** Returns whether a process relays load reports before others do. Most runners are on standby and have time for it. */
export function isPreferredRelay(member: MemberRecord): boolean {
    return member.role === "runner";
}
