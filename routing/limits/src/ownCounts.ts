import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { TeamCount } from "./teamCount.js";

interface OwnCount {
    teamId: TeamId;
    admitted: number;
    changedAtMs: number;
    sentAtMs: number;
    /** Requests admitted in the current and in the previous interval of `REPEAT_MS`. */
    current: number;
    previous: number;
    intervalAtMs: number;
}

/** Time for which a changed count is reported, in milliseconds. */
const REPEAT_MS = 600;
/** The same while peers may have missed reports, in milliseconds: the window for which the limits are guaranteed. */
const REPEAT_TO_SILENT_MS = 5000;
/** Time in which each report has a changed count, in milliseconds. It covers two reports or more. */
const EACH_REPORT_MS = 40;
/** Time between later repetitions, in milliseconds. */
const REPEAT_INTERVAL_MS = 150;
/** Maximum number of counts in a report, so that it fits a datagram. The others follow in the next ones. */
const MAX_REPORTED = 40;
/** Time after which an unchanged count is removed, in milliseconds. Peers remove it earlier and never see it restart. */
const RETENTION_MS = 30_000;

/** Counts the requests that this gateway has admitted, and selects those counts that its next report needs. */
export class OwnCounts {
    private readonly counts = new Map<TeamId, OwnCount>();
    /** Counts that may have to be reported. */
    private readonly reportable = new Set<OwnCount>();

    /** Adds an admitted request; a `change` of -1 removes it. */
    add(teamId: TeamId, change: 1 | -1, nowMs: number): void {
        const count = this.counts.get(teamId) ?? {
            teamId,
            admitted: 0,
            changedAtMs: nowMs,
            sentAtMs: -Infinity,
            current: 0,
            previous: 0,
            intervalAtMs: nowMs,
        };
        updateInterval(count, nowMs);
        count.admitted += change;
        count.current += change;
        count.changedAtMs = nowMs;
        this.counts.set(teamId, count);
        this.reportable.add(count);
    }

    /** Returns the number of requests of a team that were admitted. */
    admitted(teamId: TeamId): number {
        return this.counts.get(teamId)?.admitted ?? 0;
    }

    /**
     * Returns the counts for the next report, shape [teams].
     *
     * @param hasSilentPeers whether peers have not heard this gateway for a while
     */
    toReport(nowMs: number, hasSilentPeers: boolean): TeamCount[] {
        const repeatMs = hasSilentPeers ? REPEAT_TO_SILENT_MS : REPEAT_MS;
        const due = [...this.reportable]
            .filter(count => nowMs < count.changedAtMs + repeatMs)
            .filter(count =>
                nowMs < count.changedAtMs + EACH_REPORT_MS || nowMs >= count.sentAtMs + REPEAT_INTERVAL_MS
                || count.sentAtMs < count.changedAtMs
            )
            .sort((left, right) => left.sentAtMs - right.sentAtMs)
            .slice(0, MAX_REPORTED);
        [...this.reportable]
            .filter(count => nowMs >= count.changedAtMs + REPEAT_TO_SILENT_MS)
            .forEach(count => this.reportable.delete(count));
        return due.map(count => {
            updateInterval(count, nowMs);
            count.sentAtMs = nowMs;
            const { teamId, admitted, current, previous } = count;
            return { teamId, admitted, recentlyAdmitted: current + previous };
        });
    }

    /** Removes the counts of teams that have been idle for long. */
    expire(nowMs: number): void {
        [...this.counts.values()]
            .filter(count => nowMs >= count.changedAtMs + RETENTION_MS)
            .forEach(({ teamId }) => this.counts.delete(teamId));
    }
}

function updateInterval(count: OwnCount, nowMs: number): void {
    if (nowMs >= count.intervalAtMs + REPEAT_MS) {
        count.previous = nowMs < count.intervalAtMs + 2 * REPEAT_MS ? count.current : 0;
        count.current = 0;
        count.intervalAtMs = nowMs;
    }
}
