import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { GatewayUsage } from "./gatewayUsage.js";
import type { TeamCount } from "./teamCount.js";

interface PeerCount {
    admitted: number;
    changedAtMs: number;
    reportedAtMs: number;
}

interface Peer {
    startedAtMs: number;
    sequence: number;
    appliedAtMs: number;
    /** Time of the first report after the last long silence, in milliseconds. */
    returnedAtMs: number;
    counts: Map<TeamId, PeerCount>;
}

interface CountChange {
    teamId: TeamId;
    change: number;
    /** Whether the requests may be from a time in which the peer was silent for long. */
    isOld: boolean;
}

interface AppliedUsage {
    isNewProcess: boolean;
    /** Shape [teams]. */
    changes: CountChange[];
}

/** Time without a report after which a peer was silent for long, in milliseconds. */
const LONG_SILENCE_MS = 600;
/** Time after which an unchanged count is removed, in milliseconds. The peer itself keeps it for longer. */
const COUNT_RETENTION_MS = 20_000;
/** Time after the last report for which a peer is remembered, in milliseconds. No report is delayed by more. */
const PEER_RETENTION_MS = 60_000;

/** Remembers the counts that other gateways have reported, and derives the new requests in each report from them. */
export class PeerCounts {
    private readonly peers = new Map<InstanceName, Peer>();

    /**
     * Applies a report.
     *
     * @param isFirstCountKnown whether the requests in the first count of a team are already contained in the levels
     * @returns undefined if a newer report, or this one, has been applied
     */
    apply(usage: GatewayUsage, isFirstCountKnown: boolean, nowMs: number): AppliedUsage | undefined {
        const { instanceName, startedAtMs, sequence, teamUsage } = usage;
        const previous = this.peers.get(instanceName);
        if (previous !== undefined && !isNewer(usage, previous)) {
            return undefined;
        }
        const isNewProcess = previous?.startedAtMs !== startedAtMs;
        const peer = isNewProcess
            ? { startedAtMs, sequence, appliedAtMs: nowMs, returnedAtMs: -Infinity, counts: new Map() }
            : {
                ...previous,
                sequence,
                appliedAtMs: nowMs,
                returnedAtMs: nowMs > previous.appliedAtMs + LONG_SILENCE_MS ? nowMs : previous.returnedAtMs,
            };
        this.peers.set(instanceName, peer);
        const changes = teamUsage.counts.map(count => changeOf(peer, count, isFirstCountKnown, nowMs));
        return { isNewProcess, changes: changes.filter(({ change }) => change !== 0) };
    }

    /** Removes the counts of teams that have been idle for long, and peers that are gone. */
    expire(nowMs: number): void {
        [...this.peers].forEach(([name, peer]) => {
            [...peer.counts]
                .filter(([, { changedAtMs }]) => nowMs >= changedAtMs + COUNT_RETENTION_MS)
                .forEach(([teamId]) => peer.counts.delete(teamId));
            if (nowMs >= peer.appliedAtMs + PEER_RETENTION_MS) {
                this.peers.delete(name);
            }
        });
    }
}

function changeOf(
    { counts, returnedAtMs }: Peer,
    { teamId, admitted, recentlyAdmitted }: TeamCount,
    isFirstCountKnown: boolean,
    nowMs: number,
): CountChange {
    const known = counts.get(teamId);
    if (known === undefined) {
        counts.set(teamId, { admitted, changedAtMs: nowMs, reportedAtMs: nowMs });
        return { teamId, change: isFirstCountKnown ? 0 : recentlyAdmitted, isOld: false };
    }
    const change = admitted - known.admitted;
    const isOld = known.reportedAtMs < returnedAtMs;
    counts.set(teamId, { admitted, changedAtMs: change === 0 ? known.changedAtMs : nowMs, reportedAtMs: nowMs });
    return { teamId, change, isOld };
}

function isNewer(usage: GatewayUsage, previous: Peer): boolean {
    return usage.startedAtMs > previous.startedAtMs
        || (usage.startedAtMs === previous.startedAtMs && usage.sequence > previous.sequence);
}
