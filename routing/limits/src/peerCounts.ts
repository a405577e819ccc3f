import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { GatewayUsage } from "./gatewayUsage.js";
import type { TeamCount } from "./teamCount.js";

interface PeerCount {
    admitted: number;
    changedAtMs: number;
}

interface Peer {
    startedAtMs: number;
    sequence: number;
    appliedAtMs: number;
    counts: Map<TeamId, PeerCount>;
}

interface CountChange {
    teamId: TeamId;
    change: number;
}

interface AppliedUsage {
    isNewProcess: boolean;
    /** Shape [teams]. */
    changes: CountChange[];
}

/** Time after which an unchanged count is forgotten, in milliseconds. The peer keeps counting for longer. */
const COUNT_RETENTION_MS = 20_000;
/** Time after which a peer is forgotten. Reports that arrive later than that don't exist, in milliseconds. */
const PEER_RETENTION_MS = 60_000;

/** Remembers the counts that other gateways have reported, and so how many more requests each report tells of. */
export class PeerCounts {
    private readonly peers = new Map<InstanceName, Peer>();

    /**
     * Applies a report.
     *
     * @param isFirstCountKnown whether the requests of counts without an earlier one are known already
     * @returns undefined if a newer report, or this one, has been applied
     */
    apply(usage: GatewayUsage, isFirstCountKnown: boolean, nowMs: number): AppliedUsage | undefined {
        const { instanceName, startedAtMs, sequence, teamUsage } = usage;
        const previous = this.peers.get(instanceName);
        if (previous !== undefined && !isNewer(usage, previous)) {
            return undefined;
        }
        const isNewProcess = previous?.startedAtMs !== startedAtMs;
        const peer = { startedAtMs, sequence, appliedAtMs: nowMs, counts: isNewProcess ? new Map() : previous.counts };
        this.peers.set(instanceName, peer);
        const changes = teamUsage.counts.map(count => ({
            teamId: count.teamId,
            change: changeOf(peer.counts, count, isFirstCountKnown, nowMs),
        }));
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
    counts: Map<TeamId, PeerCount>,
    { teamId, admitted, recentlyAdmitted }: TeamCount,
    isFirstCountKnown: boolean,
    nowMs: number,
): number {
    const known = counts.get(teamId);
    if (known === undefined) {
        counts.set(teamId, { admitted, changedAtMs: nowMs });
        return isFirstCountKnown ? 0 : recentlyAdmitted;
    }
    const change = admitted - known.admitted;
    if (change !== 0) {
        known.admitted = admitted;
        known.changedAtMs = nowMs;
    }
    return change;
}

function isNewer(usage: GatewayUsage, previous: Peer): boolean {
    return usage.startedAtMs > previous.startedAtMs
        || (usage.startedAtMs === previous.startedAtMs && usage.sequence > previous.sequence);
}
