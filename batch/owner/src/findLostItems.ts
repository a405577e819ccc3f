import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { FailedAttempt } from "./failedAttempt.js";
import type { InFlightItem } from "./inFlightItem.js";

const PEER_LOST_AFTER_MS = 3000;
const MAX_IN_FLIGHT_MS = 900_000;

/**
 * Finds in-flight items whose gate is lost: its link has been closed for PEER_LOST_AFTER_MS, it has restarted, or it
 * has reported no result within MAX_IN_FLIGHT_MS. Updates `peerLostSinceMs` of the given items.
 */
export function findLostItems(opts: {
    nowMs: number;
    inFlightItems: InFlightItem[];
    peers: PeerIdentity[];
}): { index: number; attempt: FailedAttempt; }[] {
    const { nowMs } = opts;
    const incarnations = newestIncarnations(opts.peers);
    return opts.inFlightItems.flatMap(inFlightItem => {
        const incarnation = incarnations.get(inFlightItem.peer);
        inFlightItem.peerLostSinceMs = incarnation === undefined ? inFlightItem.peerLostSinceMs ?? nowMs : undefined;
        const isReplaced = incarnation !== undefined && incarnation !== inFlightItem.incarnation;
        const isDisconnected = inFlightItem.peerLostSinceMs !== undefined
            && nowMs - inFlightItem.peerLostSinceMs >= PEER_LOST_AFTER_MS;
        const isTimedOut = nowMs - inFlightItem.sinceMs >= MAX_IN_FLIGHT_MS;
        if (!isReplaced && !isDisconnected && !isTimedOut) {
            return [];
        }
        const attempt: FailedAttempt = {
            upstream: inFlightItem.peer,
            code: "upstream_lost",
            message: "The upstream was lost while it ran the item",
            cause: isTimedOut ? "instance" : "upstream-lost",
            mayHaveRun: true,
        };
        return [{ index: inFlightItem.item.index, attempt }];
    });
}

/** Returns the newest incarnation of each peer: the link of an earlier process may outlive its successor's start. */
function newestIncarnations(peers: PeerIdentity[]): Map<InstanceId, Incarnation> {
    const newest = new Map<InstanceId, Incarnation>();
    peers
        .filter(peer => peer.incarnation > (newest.get(peer.instanceId) ?? Number.NEGATIVE_INFINITY))
        .forEach(peer => newest.set(peer.instanceId, peer.incarnation));
    return newest;
}
