import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { CountReport } from "./countReport.js";
import type { RequestCount } from "./requestCount.js";

interface PeerCount {
    admitted: number;
    changedAtMs: number;
    reportedAtMs: number;
}

interface Peer<Id extends string> {
    startedAtMs: number;
    sequence: number;
    appliedAtMs: number;
    /** Time of the first report after the last long silence, in milliseconds. */
    returnedAtMs: number;
    counts: Map<Id, PeerCount>;
}

interface CountChange<Id extends string> {
    id: Id;
    change: number;
    /** Whether the requests may be from a time in which the peer was silent for long. */
    isOld: boolean;
}

interface AppliedCounts<Id extends string> {
    isNewProcess: boolean;
    /** Shape [counts]. */
    changes: CountChange<Id>[];
}

/** Time without a report after which a peer was silent for long, in milliseconds. */
const LONG_SILENCE_MS = 600;
/** Time after which an unchanged count is removed, in milliseconds. The peer itself keeps it for longer. */
const COUNT_RETENTION_MS = 20_000;
/** Time after the last report for which a peer is remembered, in milliseconds. No report is delayed by more. */
const PEER_RETENTION_MS = 60_000;

/** Remembers the counts that other processes have reported, and derives the new requests in each report from them. */
export class PeerCounts<Id extends string> {
    private readonly peers = new Map<InstanceName, Peer<Id>>();

    /**
     * Applies a report.
     *
     * @param isFirstCountKnown whether the requests in the first count of an id are already contained in the levels
     * @returns undefined if a newer report, or this one, has been applied
     */
    apply(report: CountReport<Id>, isFirstCountKnown: boolean, nowMs: number): AppliedCounts<Id> | undefined {
        const { instanceName, startedAtMs, sequence } = report;
        const previous = this.peers.get(instanceName);
        if (previous !== undefined && !isNewer(report, previous)) {
            return undefined;
        }
        const isNewProcess = previous?.startedAtMs !== startedAtMs;
        const peer: Peer<Id> = isNewProcess
            ? { startedAtMs, sequence, appliedAtMs: nowMs, returnedAtMs: -Infinity, counts: new Map() }
            : {
                ...previous,
                sequence,
                appliedAtMs: nowMs,
                returnedAtMs: nowMs > previous.appliedAtMs + LONG_SILENCE_MS ? nowMs : previous.returnedAtMs,
            };
        this.peers.set(instanceName, peer);
        const changes = report.counts.map(count => changeOf(peer, count, isFirstCountKnown, nowMs));
        return { isNewProcess, changes: changes.filter(({ change }) => change !== 0) };
    }

    /** Removes counts that haven't changed for long, and peers that are gone. */
    expire(nowMs: number): void {
        [...this.peers].forEach(([name, peer]) => {
            [...peer.counts]
                .filter(([, { changedAtMs }]) => nowMs >= changedAtMs + COUNT_RETENTION_MS)
                .forEach(([id]) => peer.counts.delete(id));
            if (nowMs >= peer.appliedAtMs + PEER_RETENTION_MS) {
                this.peers.delete(name);
            }
        });
    }
}

function changeOf<Id extends string>(
    { counts, returnedAtMs }: Peer<Id>,
    { id, admitted, recentlyAdmitted }: RequestCount<Id>,
    isFirstCountKnown: boolean,
    nowMs: number,
): CountChange<Id> {
    const known = counts.get(id);
    if (known === undefined) {
        counts.set(id, { admitted, changedAtMs: nowMs, reportedAtMs: nowMs });
        return { id, change: isFirstCountKnown ? 0 : recentlyAdmitted, isOld: false };
    }
    const change = admitted - known.admitted;
    const isOld = known.reportedAtMs < returnedAtMs;
    counts.set(id, { admitted, changedAtMs: change === 0 ? known.changedAtMs : nowMs, reportedAtMs: nowMs });
    return { id, change, isOld };
}

function isNewer(report: CountReport<string>, previous: Pick<Peer<string>, "startedAtMs" | "sequence">): boolean {
    return report.startedAtMs > previous.startedAtMs
        || (report.startedAtMs === previous.startedAtMs && report.sequence > previous.sequence);
}
