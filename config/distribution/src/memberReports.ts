import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { MemberRevision } from "./memberRevision.js";

interface Report {
    members: MemberRevision[];
    receivedAtMs: number;
}

/** The latest reports of the processes below this one. Reports expire after `expiryMs`. */
export class MemberReports {
    private readonly reports = new Map<InstanceId, Report>();
    private readonly expiryMs: number;

    constructor(opts: { expiryMs: number; }) {
        this.expiryMs = opts.expiryMs;
    }

    /** Records the report of `child`. @returns whether it differs from the previous one */
    record(child: InstanceId, members: MemberRevision[], nowMs: number): boolean {
        const before = this.reports.get(child);
        this.reports.set(child, { members, receivedAtMs: nowMs });
        return before === undefined || !areSame(before.members, members);
    }

    /** Returns the children whose reports have not expired. */
    children(nowMs: number): InstanceId[] {
        this.dropExpired(nowMs);
        return [...this.reports.keys()];
    }

    /** Returns all processes below this one, each with the highest reported revision. */
    members(nowMs: number): MemberRevision[] {
        this.dropExpired(nowMs);
        return highestRevisions([...this.reports.values()].flatMap(report => report.members));
    }

    private dropExpired(nowMs: number): void {
        this.reports.forEach((report, child) => {
            if (nowMs - report.receivedAtMs > this.expiryMs) {
                this.reports.delete(child);
            }
        });
    }
}

function highestRevisions(members: MemberRevision[]): MemberRevision[] {
    const highest = new Map<InstanceId, MemberRevision>();
    members.forEach(member => {
        const current = highest.get(member.instanceId);
        if (current === undefined || current.revision < member.revision) {
            highest.set(member.instanceId, member);
        }
    });
    return [...highest.values()];
}

function areSame(before: MemberRevision[], after: MemberRevision[]): boolean {
    return before.length === after.length
        && before.every((member, index) =>
            member.instanceId === after[index]?.instanceId && member.revision === after[index]?.revision
        );
}
