import type { RequestCount } from "./requestCount.js";

interface OwnCount<Id extends string> {
    id: Id;
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

/** Counts the requests that this process has admitted by id, and selects those counts that its next report needs. */
export class OwnCounts<Id extends string> {
    private readonly counts = new Map<Id, OwnCount<Id>>();
    /** Counts that may have to be reported. */
    private readonly reportable = new Set<OwnCount<Id>>();

    /** Adds an admitted request; a `change` of -1 removes it. */
    add(id: Id, change: 1 | -1, nowMs: number): void {
        const count = this.counts.get(id) ?? {
            id,
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
        this.counts.set(id, count);
        this.reportable.add(count);
    }

    /** Returns the number of requests with an id that were admitted. */
    admitted(id: Id): number {
        return this.counts.get(id)?.admitted ?? 0;
    }

    /**
     * Returns the counts for the next report, shape [counts].
     *
     * @param hasSilentPeers whether peers have not heard this process for a while
     */
    toReport(nowMs: number, hasSilentPeers: boolean): RequestCount<Id>[] {
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
            const { id, admitted, current, previous } = count;
            return { id, admitted, recentlyAdmitted: current + previous };
        });
    }

    /** Removes the counts that haven't changed for long. */
    expire(nowMs: number): void {
        [...this.counts.values()]
            .filter(count => nowMs >= count.changedAtMs + RETENTION_MS)
            .forEach(({ id }) => this.counts.delete(id));
    }
}

function updateInterval(count: OwnCount<string>, nowMs: number): void {
    if (nowMs >= count.intervalAtMs + REPEAT_MS) {
        count.previous = nowMs < count.intervalAtMs + 2 * REPEAT_MS ? count.current : 0;
        count.current = 0;
        count.intervalAtMs = nowMs;
    }
}
